#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// Callers send requests through a real proxy to upstreams that fail in many ways. What each caller
// was told is compared with the record that the upstreams keep.

namespace chicorywick::prove {

namespace {

constexpr int kUpstreams = 4;
constexpr int kCallers = 8;
constexpr int kRequestsPerCaller = 25;
constexpr int kDeadlineMillis = 150;
constexpr std::size_t kStreamedAbove = 50'000;

/// @brief What a caller sent and was told.
struct Told
{
    std::string id;
    std::string method;
    bool hasResponse = false;
    int status = 0;
    std::string outcome;
    std::string code;
    std::string isFor;
    std::size_t size = 0;
    std::string body;
};

bool isIdempotent(const std::string &method)
{
    return method != "POST" && method != "PATCH";
}

Told send(httplib::Client &client, const std::string &method, const std::string &id,
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
    Told told{.id = id, .method = method};
    if (!result)
        return told;
    told.hasResponse = true;
    told.status = result->status;
    told.outcome = result->get_header_value("X-Request-Outcome");
    told.code = result->get_header_value("X-Result-Code");
    told.isFor = result->get_header_value("X-For");
    told.size = static_cast<std::size_t>(
            std::strtoul(result->get_header_value("X-Size").c_str(), nullptr, 10));
    told.body = result->body;
    return told;
}

/// @brief Sends a request and leaves without waiting for the response.
void sendAndLeave(int port, const std::string &id)
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

std::string judgeCompleted(const Told &told, const std::vector<UpstreamRecord> &own)
{
    if (told.isFor != told.id)
        return "a response to '" + told.isFor + "'";
    const bool isBodyless = told.method == "HEAD" || told.status == 204;
    if (told.body != (isBodyless ? "" : bodyFor(told.id, told.size)))
        return "a body of " + std::to_string(told.body.size()) + " bytes instead of "
               + std::to_string(told.size);
    const bool ran = std::any_of(own.begin(), own.end(),
                                 [](const UpstreamRecord &record) { return record.ran; });
    return ran ? "" : "completed, but no upstream ran it";
}

// Only a response that is passed on while it arrives may end in a broken connection.
std::string judgeBroken(const std::vector<UpstreamRecord> &own)
{
    const bool mayBreak = std::any_of(own.begin(), own.end(), [](const UpstreamRecord &record) {
        return record.fault == UpstreamFault::TruncateBody
               || record.fault == UpstreamFault::SlowBody;
    });
    return mayBreak ? "" : "no response";
}

std::string judge(const Told &told, const std::vector<UpstreamRecord> &own)
{
    const auto received = std::count_if(own.begin(), own.end(), [](const UpstreamRecord &record) {
        return record.fault != UpstreamFault::Refuse;
    });
    if (!isIdempotent(told.method) && received > 1)
        return "sent " + std::to_string(received) + " times";
    if (!told.hasResponse)
        return judgeBroken(own);
    if (told.outcome == "completed")
        return judgeCompleted(told, own);
    if (told.outcome == "not-run")
        return received == 0 ? "" : "told not-run, but it was sent";
    if (told.outcome != "unknown")
        return "no outcome";
    const bool isTruncation = told.code == "4007";
    return told.status == (isTruncation ? 502 : 504) ? "" : "unknown with the wrong status";
}

std::string describe(const Told &told, const std::string &violation,
                     const std::vector<UpstreamRecord> &records)
{
    return told.method + ' ' + told.id + ": " + violation + "\n  told: status "
           + std::to_string(told.status) + ", outcome '" + told.outcome + "', code " + told.code
           + ", for '" + told.isFor + "'\n" + traceOf(records, told.id);
}

std::string runAnswers(std::uint64_t seed)
{
    base::Rng rng(seed);
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<serving::UpstreamTarget> targets;
    for (int i = 0; i < kUpstreams; ++i) {
        const UpstreamPlan plan{.faultPercent = i == 0 ? 10U : 60U,
                                .late = std::chrono::milliseconds(kDeadlineMillis + 20)};
        upstreams.push_back(std::make_unique<FakeUpstream>("u" + std::to_string(i), rng(), plan));
        targets.push_back(upstreams.back()->target());
    }
    // One upstream refuses connections, and one dies in the middle of the run.
    upstreams.push_back(std::make_unique<FakeUpstream>("closed", rng(), UpstreamPlan{}));
    targets.push_back(upstreams.back()->target());
    upstreams.back()->die();

    const auto dispatcher = makeDispatcher(seed, targets);
    serving::CallerProxyOptions options;
    options.streamingThresholdBytes = kStreamedAbove;
    auto proxy = std::move(serving::CallerProxy::open(options, dispatcher, nullptr).value());

    std::vector<std::vector<Told>> told(kCallers);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, own = rng.fork()]() mutable {
            constexpr std::array kMethods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
            httplib::Client client("127.0.0.1", proxy->port());
            client.set_keep_alive(true);
            for (int i = 0; i < kRequestsPerCaller; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                if (own.chance(0.05)) {
                    sendAndLeave(proxy->port(), id);
                    told[static_cast<std::size_t>(caller)].push_back({.id = id, .method = "GONE"});
                    continue;
                }
                const std::string method = kMethods[own.below(kMethods.size())];
                told[static_cast<std::size_t>(caller)].push_back(
                        send(client, method, id, "c" + std::to_string(caller), own));
                if (caller == 0 && i == kRequestsPerCaller / 2)
                    upstreams[1]->die();
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
        upstream->die();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    for (const auto &ofCaller : told) {
        for (const Told &one : ofCaller) {
            std::vector<UpstreamRecord> own;
            std::copy_if(records.begin(), records.end(), std::back_inserter(own),
                         [&](const UpstreamRecord &record) { return record.id == one.id; });
            const std::string violation = one.method == "GONE" ? "" : judge(one, own);
            if (!violation.empty())
                return describe(one, violation, records);
        }
    }
    return {};
}

const Registration kRegistration({.name = "answers",
                                  .description = "Callers get the whole response to their own "
                                                 "request and a true outcome",
                                  .defaultRuns = 10,
                                  .run = runAnswers});

} // namespace

} // namespace chicorywick::prove
