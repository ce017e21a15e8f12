#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/plain_caller.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"

#include <httplib.h>

// A proxy is drained and stopped under load from callers on kept-alive and on new connections. The
// upstreams are healthy, so every request must either complete or be told not-run.

namespace chicorywick::prove {

namespace {

constexpr int kUpstreams = 2;
constexpr int kCallers = 12;
constexpr std::size_t kStreamedAbove = 50'000;
constexpr auto kMaxStopTime = std::chrono::seconds(5);

/// @brief What one request came to.
struct StopAnswer
{
    std::string id;
    bool isConnected = true;
    bool hasResponse = false;
    bool isWhole = false;
    bool saysClose = false;
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

StopAnswer toAnswer(const std::string &id, const httplib::Result &result)
{
    StopAnswer answer{.id = id};
    answer.error = httplib::to_string(result.error());
    if (!result) {
        answer.isConnected = result.error() != httplib::Error::Connection
                             && result.error() != httplib::Error::ConnectionTimeout;
        return answer;
    }
    answer.hasResponse = true;
    answer.outcome = result->get_header_value("X-Request-Outcome");
    answer.code = result->get_header_value("X-Result-Code");
    answer.saysClose = result->get_header_value("Connection") == "close";
    const std::string size = result->get_header_value("X-Size");
    answer.isWhole = result->get_header_value("X-For") == id
                     && result->body == bodyFor(id, std::strtoul(size.c_str(), nullptr, 10));
    return answer;
}

std::string judge(const StopAnswer &answer, const std::vector<UpstreamRecord> &records,
                  bool isStopping)
{
    const auto ran = std::count_if(records.begin(), records.end(),
                                   [&](const auto &record) { return record.id == answer.id; });
    if (!answer.isConnected)
        return isStopping ? "" : "the connection was refused before the stop";
    if (!answer.hasResponse)
        return "the request was cut off: " + answer.error;
    if (answer.outcome == "completed")
        return answer.isWhole && ran == 1 ? "" : "completed, but not whole";
    if (answer.outcome != "not-run")
        return "told '" + answer.outcome + "' although the upstreams are healthy";
    if (ran != 0)
        return "told not-run, but it ran";
    if (!isStopping)
        return "rejected before the drain";
    return answer.saysClose ? "" : "a rejection that leaves the connection open";
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
    options.streamingThresholdBytes = kStreamedAbove;
    auto proxy = std::move(serving::CallerProxy::open(options, dispatcher, nullptr).value());
    const int port = proxy->port();

    std::atomic<bool> isStopping = false;
    std::atomic<bool> isStopped = false;
    std::atomic<int> sent = 0;
    std::mutex mutex;
    std::vector<std::pair<StopAnswer, bool>> answers;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, own = rng.fork()]() mutable {
            // One third of the callers opens a connection for each request, one third looks whether
            // its kept-alive connection is open, and one third does not look.
            httplib::Client client("127.0.0.1", port);
            client.set_keep_alive(caller % 3 == 1);
            PlainCaller plainCaller(port);
            for (int i = 0;; ++i) {
                const std::string id = std::to_string(caller) + '-' + std::to_string(i);
                const bool isLast = isStopped;
                const httplib::Request request = newRequest(id, own);
                StopAnswer answer = toAnswer(id, caller % 3 == 2 ? plainCaller.sendPlain(request)
                                                                 : client.send(request));
                ++sent;
                const bool isRefused = !answer.isConnected;
                {
                    const std::lock_guard lock(mutex);
                    answers.emplace_back(std::move(answer), isStopping.load());
                }
                if (isRefused || isLast)
                    return;
                if (own.chance(0.5))
                    std::this_thread::sleep_for(std::chrono::microseconds(own.below(3000)));
            }
        });
    }
    const int before = static_cast<int>(20 + rng.below(200));
    while (sent < before)
        std::this_thread::yield();
    isStopping = true;
    const auto start = std::chrono::steady_clock::now();
    if (rng.chance(0.6)) {
        proxy->beginDrain();
        const int during = sent + static_cast<int>(rng.below(50));
        while (sent < during)
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
        upstream->die();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    for (const auto &[answer, duringStop] : answers) {
        const std::string violation = judge(answer, records, duringStop);
        if (!violation.empty())
            return "request " + answer.id + ": " + violation + "\n  outcome '" + answer.outcome
                   + "', code " + answer.code + '\n' + traceOf(records, answer.id);
    }
    return {};
}

const Registration kRegistration({.name = "graceful-stop",
                                  .description = "A drain and stop cut off no request",
                                  .defaultRuns = 15,
                                  .run = runGracefulStop});

} // namespace

} // namespace chicorywick::prove
