#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// Callers send requests through a real proxy to upstreams that inject faults. The replies to the
// callers are compared with the records of the upstreams. Guards against mixed-up or truncated
// responses, wrong outcomes and repeated non-idempotent requests after connection faults.

namespace chicorywick::prove {

namespace {

constexpr int kUpstreams = 4;
constexpr int kCallers = 8;
constexpr int kRequestsPerCaller = 25;
constexpr int kDeadlineMillis = 150;
constexpr std::size_t kStreamingThresholdBytes = 50'000;

/// @brief A request of a caller and the reply to it.
struct CallerReply
{
    std::string id;
    std::string method;
    bool hasResponse = false;
    int status = 0;
    std::string outcome;
    std::string code;
    std::string responseTo;
    std::size_t size = 0;
    std::string body;
};

bool isIdempotent(const std::string &method)
{
    return method != "POST" && method != "PATCH";
}

CallerReply send(httplib::Client &client, const std::string &method, const std::string &id,
                 const std::string &caller, base::Rng &rng)
{
    httplib::Request request;
    request.method = method;
    request.path = "/shop/" + id;
    request.headers = {{"X-Id", id},
                       {"X-Caller", caller},
                       {"X-Request-Deadline-Ms", std::to_string(kDeadlineMillis)}};
    if (method == "POST" || method == "PUT" || method == "PATCH")
        request.body = std::string(1 + rng.below(20'000), 'b');
    const httplib::Result result = client.send(request);
    CallerReply reply{.id = id, .method = method};
    if (!result)
        return reply;
    reply.hasResponse = true;
    reply.status = result->status;
    reply.outcome = result->get_header_value("X-Request-Outcome");
    reply.code = result->get_header_value("X-Result-Code");
    reply.responseTo = result->get_header_value("X-For");
    reply.size = static_cast<std::size_t>(
            std::strtoul(result->get_header_value("X-Size").c_str(), nullptr, 10));
    reply.body = result->body;
    return reply;
}

/// @brief Sends a request and disconnects without waiting for the response.
void sendAndDisconnect(int port, const std::string &id)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        const std::string text = "POST /shop/" + id + " HTTP/1.1\r\nHost: x\r\nX-Id: " + id
                                 + "\r\nContent-Length: 3\r\n\r\nabc";
        static_cast<void>(::send(fd, text.data(), text.size(), MSG_NOSIGNAL));
    }
    ::close(fd);
}

std::string checkCompleted(const CallerReply &reply, const std::vector<UpstreamRecord> &ownRecords)
{
    if (reply.responseTo != reply.id)
        return "received the response to '" + reply.responseTo + "'";
    const bool isBodyless = reply.method == "HEAD" || reply.status == 204;
    if (reply.body != (isBodyless ? "" : bodyFor(reply.id, reply.size)))
        return "received a body of " + std::to_string(reply.body.size()) + " bytes instead of "
               + std::to_string(reply.size);
    const bool ran = std::any_of(ownRecords.begin(), ownRecords.end(),
                                 [](const UpstreamRecord &record) { return record.ran; });
    return ran ? "" : "reported completed, but no upstream executed the request";
}

// Only a response that is streamed to the caller may end in a broken connection.
std::string checkBrokenConnection(const std::vector<UpstreamRecord> &ownRecords)
{
    const bool mayBreak =
            std::any_of(ownRecords.begin(), ownRecords.end(), [](const UpstreamRecord &record) {
                return record.fault == UpstreamFault::TruncateBody
                       || record.fault == UpstreamFault::SlowBody;
            });
    return mayBreak ? "" : "no response";
}

std::string checkReply(const CallerReply &reply, const std::vector<UpstreamRecord> &ownRecords)
{
    const auto received =
            std::count_if(ownRecords.begin(), ownRecords.end(), [](const UpstreamRecord &record) {
                return record.fault != UpstreamFault::Refuse;
            });
    if (!isIdempotent(reply.method) && received > 1)
        return "sent to upstreams " + std::to_string(received) + " times";
    if (!reply.hasResponse)
        return checkBrokenConnection(ownRecords);
    if (reply.outcome == "completed")
        return checkCompleted(reply, ownRecords);
    if (reply.outcome == "not-run")
        return received == 0 ? "" : "reported not-run, but the request was sent";
    if (reply.outcome != "unknown")
        return "no valid outcome";
    const bool isTruncation = reply.code == "4007";
    return reply.status == (isTruncation ? 502 : 504) ? ""
                                                      : "outcome unknown with the wrong status";
}

std::string describe(const CallerReply &reply, const std::string &violation,
                     const std::vector<UpstreamRecord> &records)
{
    return reply.method + ' ' + reply.id + ": " + violation + "\n  reply: status "
           + std::to_string(reply.status) + ", outcome '" + reply.outcome + "', code " + reply.code
           + ", for '" + reply.responseTo + "'\n" + traceOf(records, reply.id);
}

std::string runAnswers(std::uint64_t seed)
{
    base::Rng rng(seed);
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<serving::UpstreamTarget> targets;
    for (int i = 0; i < kUpstreams; ++i) {
        const UpstreamPlan plan{.faultPercent = i == 0 ? 10U : 60U,
                                .lateResponseDelay =
                                        std::chrono::milliseconds(kDeadlineMillis + 20)};
        upstreams.push_back(std::make_unique<FakeUpstream>("u" + std::to_string(i), rng(), plan));
        targets.push_back(upstreams.back()->target());
    }
    // One upstream refuses connections, and another shuts down in the middle of the run.
    upstreams.push_back(std::make_unique<FakeUpstream>("closed", rng(), UpstreamPlan{}));
    targets.push_back(upstreams.back()->target());
    upstreams.back()->shutDown();

    const auto dispatcher = makeDispatcher(seed, targets);
    serving::CallerProxyOptions options;
    options.streamingThresholdBytes = kStreamingThresholdBytes;
    auto proxy = std::move(serving::CallerProxy::open(options, dispatcher, nullptr).value());

    std::vector<std::vector<CallerReply>> replies(kCallers);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, callerRng = rng.fork()]() mutable {
            constexpr std::array kMethods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
            httplib::Client client("127.0.0.1", proxy->port());
            client.set_keep_alive(true);
            for (int i = 0; i < kRequestsPerCaller; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                if (callerRng.chance(0.05)) {
                    sendAndDisconnect(proxy->port(), id);
                    replies[static_cast<std::size_t>(caller)].push_back(
                            {.id = id, .method = "GONE"});
                    continue;
                }
                const std::string method = kMethods[callerRng.below(kMethods.size())];
                replies[static_cast<std::size_t>(caller)].push_back(
                        send(client, method, id, "c" + std::to_string(caller), callerRng));
                if (caller == 0 && i == kRequestsPerCaller / 2)
                    upstreams[1]->shutDown();
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    proxy->stop();
    if (dispatcher->inFlight() != 0)
        return std::to_string(dispatcher->inFlight()) + " slots were not released";
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : upstreams) {
        upstream->shutDown();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    for (const auto &repliesOfCaller : replies) {
        for (const CallerReply &callerReply : repliesOfCaller) {
            std::vector<UpstreamRecord> ownRecords;
            std::copy_if(records.begin(), records.end(), std::back_inserter(ownRecords),
                         [&](const UpstreamRecord &record) { return record.id == callerReply.id; });
            const std::string violation =
                    callerReply.method == "GONE" ? "" : checkReply(callerReply, ownRecords);
            if (!violation.empty())
                return describe(callerReply, violation, records);
        }
    }
    return {};
}

const Registration kRegistration({.name = "answers",
                                  .description = "each caller receives the complete response to "
                                                 "its own request and a correct outcome",
                                  .defaultRuns = 10,
                                  .run = runAnswers});

} // namespace

} // namespace chicorywick::prove
