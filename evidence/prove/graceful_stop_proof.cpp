#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"
#include "evidence/prove/unchecked_client.h"

#include <httplib.h>

// A proxy is drained and stopped under load on kept-alive and new connections. The upstreams are
// healthy, so every request must either complete or be reported not-run. Guards against requests
// that are interrupted, or rejected without a close of the connection, during a stop.

namespace chicorywick::prove {

namespace {

constexpr int kUpstreams = 2;
constexpr int kCallers = 12;
constexpr std::size_t kStreamingThresholdBytes = 50'000;
constexpr auto kMaxStopTime = std::chrono::seconds(5);

/// @brief The result of one request.
struct StopReply
{
    std::string id;
    bool isConnected = true;
    bool hasResponse = false;
    bool isComplete = false;
    bool closesConnection = false;
    std::string outcome;
    std::string code;
    std::string error;
};

httplib::Request newRequest(const std::string &id, base::Rng &rng)
{
    httplib::Request request;
    request.method = rng.chance(0.5) ? "GET" : "POST";
    request.path = "/shop/x";
    request.headers = {{"X-Id", id}, {"X-Caller", "c"}, {"Host", "x"}};
    if (request.method == "POST")
        request.body = std::string(rng.below(50'000), 'b');
    return request;
}

StopReply toReply(const std::string &id, const httplib::Result &result)
{
    StopReply reply{.id = id};
    reply.error = httplib::to_string(result.error());
    if (!result) {
        reply.isConnected = result.error() != httplib::Error::Connection
                            && result.error() != httplib::Error::ConnectionTimeout;
        return reply;
    }
    reply.hasResponse = true;
    reply.outcome = result->get_header_value("X-Request-Outcome");
    reply.code = result->get_header_value("X-Result-Code");
    reply.closesConnection = result->get_header_value("Connection") == "close";
    const std::string size = result->get_header_value("X-Size");
    reply.isComplete = result->get_header_value("X-For") == id
                       && result->body == bodyFor(id, std::strtoul(size.c_str(), nullptr, 10));
    return reply;
}

std::string checkReply(const StopReply &reply, const std::vector<UpstreamRecord> &records,
                       bool isStopping)
{
    const auto ran = std::count_if(records.begin(), records.end(),
                                   [&](const auto &record) { return record.id == reply.id; });
    if (!reply.isConnected)
        return isStopping ? "" : "the connection was refused before the stop";
    if (!reply.hasResponse)
        return "the request was interrupted: " + reply.error;
    if (reply.outcome == "completed")
        return reply.isComplete && ran == 1 ? ""
                                            : "reported completed, but the response is wrong or "
                                              "the request was not executed exactly once";
    if (reply.outcome != "not-run")
        return "reported '" + reply.outcome + "' although the upstreams are healthy";
    if (ran != 0)
        return "reported not-run, but the request was executed";
    if (!isStopping)
        return "the request was rejected before the drain";
    return reply.closesConnection ? "" : "the request was rejected without closing the connection";
}

std::string runGracefulStop(std::uint64_t seed)
{
    base::Rng rng(seed);
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<serving::UpstreamTarget> targets;
    for (int i = 0; i < kUpstreams; ++i) {
        const UpstreamPlan plan{
                .faultPercent = 0,
                .serviceTime = std::chrono::milliseconds(rng.chance(0.5) ? 0 : rng.below(30))};
        upstreams.push_back(std::make_unique<FakeUpstream>("u" + std::to_string(i), rng(), plan));
        targets.push_back(upstreams.back()->target());
    }
    const auto dispatcher = makeDispatcher(seed, targets);
    serving::CallerProxyOptions options;
    options.streamingThresholdBytes = kStreamingThresholdBytes;
    auto proxy = std::move(serving::CallerProxy::open(options, dispatcher, nullptr).value());
    const int port = proxy->port();

    std::atomic<bool> isStopping = false;
    std::atomic<bool> isStopped = false;
    std::atomic<int> sent = 0;
    std::mutex mutex;
    std::vector<std::pair<StopReply, bool>> replies;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, callerRng = rng.fork()]() mutable {
            // One third of the callers opens a connection for each request, one third checks that
            // its kept-alive connection is open, and one third does not check.
            httplib::Client client("127.0.0.1", port);
            client.set_keep_alive(caller % 3 == 1);
            UncheckedClient uncheckedClient(port);
            for (int i = 0;; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                const bool isLast = isStopped;
                const httplib::Request request = newRequest(id, callerRng);
                StopReply reply =
                        toReply(id, caller % 3 == 2 ? uncheckedClient.sendUnchecked(request)
                                                    : client.send(request));
                ++sent;
                const bool isRefused = !reply.isConnected;
                {
                    const std::lock_guard lock(mutex);
                    replies.emplace_back(std::move(reply), isStopping.load());
                }
                if (isRefused || isLast)
                    return;
                if (callerRng.chance(0.5))
                    std::this_thread::sleep_for(std::chrono::microseconds(callerRng.below(3000)));
            }
        });
    }
    const int requestsBeforeStop = static_cast<int>(20 + rng.below(200));
    while (sent < requestsBeforeStop)
        std::this_thread::yield();
    isStopping = true;
    const auto start = std::chrono::steady_clock::now();
    if (rng.chance(0.6)) {
        proxy->beginDrain();
        const int requestsDuringDrain = sent + static_cast<int>(rng.below(50));
        while (sent < requestsDuringDrain)
            std::this_thread::yield();
    }
    proxy->stop();
    const auto stopTime = std::chrono::steady_clock::now() - start;
    isStopped = true;
    for (std::thread &caller : callers)
        caller.join();
    if (stopTime > kMaxStopTime)
        return "the stop took too long";
    if (dispatcher->inFlight() != 0)
        return "slots were not released";
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : upstreams) {
        upstream->shutDown();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    for (const auto &[reply, duringStop] : replies) {
        const std::string violation = checkReply(reply, records, duringStop);
        if (!violation.empty())
            return "request " + reply.id + ": " + violation + "\n  outcome '" + reply.outcome
                   + "', code " + reply.code + '\n' + traceOf(records, reply.id);
    }
    return {};
}

const Registration kRegistration({.name = "graceful-stop",
                                  .description = "drain and stop interrupt no request",
                                  .defaultRuns = 15,
                                  .run = runGracefulStop});

} // namespace

} // namespace chicorywick::prove
