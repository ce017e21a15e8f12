#include "evidence/measure/measurement.h"

#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/serving/caller_proxy.h>

#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

// Measures the cost of the proxy on loopback compared with a direct call, of claims with and
// without group commit, and of an open connection compared with the thread-per-connection server of
// cpp-httplib.

namespace chicorywick::measure {

namespace {

using std::chrono::steady_clock;

constexpr int kUpstreams = 4;
constexpr int kThreadsPerUpstream = 64;
constexpr int kRequests = 2000;
constexpr int kParallelCallers = 16;
constexpr int kKeyedRequests = 400;
constexpr int kConnections = 1000;
constexpr std::size_t kBodyBytes = 1000;

/// @brief A healthy upstream that responds without delay.
class Upstream
{
public:
    explicit Upstream(int threads)
    {
        server_.new_task_queue = [threads] {
            return new httplib::ThreadPool(static_cast<std::size_t>(threads));
        };
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_keep_alive_timeout(60);
        server_.set_tcp_nodelay(true);
        const auto handler = [](const httplib::Request &, httplib::Response &response) {
            response.set_content(std::string(kBodyBytes, 'x'), "text/plain");
        };
        server_.Get("/shop/x", handler);
        server_.Post("/shop/x", handler);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::yield();
    }
    ~Upstream()
    {
        server_.stop();
        thread_.join();
    }
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    int port() const { return port_; }

private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

/// @brief Latency and throughput of one call path.
struct Figures
{
    double p50Micros = 0;
    double p99Micros = 0;
    double perSecond = 0;
    int failed = 0;
};

Figures callMany(int port, int callers, int requests, bool isKeyed)
{
    std::vector<double> micros;
    std::mutex mutex;
    std::atomic<int> failed = 0;
    const auto start = steady_clock::now();
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            httplib::Client client("127.0.0.1", port);
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            std::vector<double> callerMicros;
            for (int i = 0; i < requests / callers; ++i) {
                const auto requestStart = steady_clock::now();
                const std::string key = std::to_string(caller) + '-' + std::to_string(i);
                const auto result =
                        isKeyed ? client.Post("/shop/x",
                                              {{"X-Caller", "c"}, {"Idempotency-Key", key}}, "b",
                                              "text/plain")
                                : client.Get("/shop/x", {{"X-Caller", "c" + key}});
                callerMicros.push_back(std::chrono::duration<double, std::micro>(steady_clock::now()
                                                                                 - requestStart)
                                               .count());
                if (!result || result->status != 200)
                    ++failed;
            }
            const std::lock_guard lock(mutex);
            micros.insert(micros.end(), callerMicros.begin(), callerMicros.end());
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
    std::sort(micros.begin(), micros.end());
    return {.p50Micros = micros[micros.size() / 2],
            .p99Micros = micros[micros.size() * 99 / 100],
            .perSecond = static_cast<double>(micros.size()) / seconds,
            .failed = failed};
}

nlohmann::json report(const std::string &name, const Figures &figures)
{
    std::printf("%-34s p50 %8.0f us  p99 %8.0f us  %8.0f/s  failed %d\n", name.c_str(),
                figures.p50Micros, figures.p99Micros, figures.perSecond, figures.failed);
    return {{"p50Micros", figures.p50Micros},
            {"p99Micros", figures.p99Micros},
            {"perSecond", figures.perSecond},
            {"failed", figures.failed}};
}

using Upstreams = std::vector<std::unique_ptr<Upstream>>;

Upstreams startUpstreams()
{
    Upstreams upstreams;
    for (int i = 0; i < kUpstreams; ++i)
        upstreams.push_back(std::make_unique<Upstream>(kThreadsPerUpstream));
    return upstreams;
}

std::shared_ptr<serving::Dispatcher> dispatcherFor(const Upstreams &upstreams, std::uint64_t seed)
{
    serving::RoutingTable table;
    table.localZone = "a";
    serving::ServiceRoute &route = table.services["shop"];
    for (const auto &upstream : upstreams)
        route.upstreams.push_back({.target = {.id = std::to_string(upstream->port()),
                                              .host = "127.0.0.1",
                                              .port = upstream->port(),
                                              .zone = "a"}});
    auto dispatcher = std::make_shared<serving::Dispatcher>(base::Clock(), seed);
    dispatcher->update(table);
    return dispatcher;
}

nlohmann::json measureKeyed(const std::string &name, const Upstreams &upstreams, std::uint64_t seed,
                            std::size_t maxGroup)
{
    platform::MemoryPlatformOptions platformOptions;
    platformOptions.seed = seed;
    // Row rates are set high, because this measures transactions, not row writes.
    platformOptions.tableWritesPerSecond = 100'000;
    platformOptions.tableReadsPerSecond = 100'000;
    auto memory = std::make_shared<platform::MemoryPlatform>(platformOptions);
    platform::FaultPlan faults;
    faults.table.delay = std::chrono::milliseconds(2);
    memory->setFaults(faults);
    const platform::MemoryAccess access{memory, "a"};
    auto store = std::make_shared<serving::IdempotencyStore>(
            platform::Table(access), platform::ObjectStore(access), base::Clock(),
            serving::IdempotencyStoreOptions{.maxGroup = maxGroup});
    auto proxy = std::move(
            serving::CallerProxy::open({}, dispatcherFor(upstreams, seed), store).value());
    nlohmann::json figures =
            report(name, callMany(proxy->port(), kParallelCallers, kKeyedRequests, true));
    const serving::IdempotencyStoreCounters counters = store->counters();
    const double perTransaction =
            static_cast<double>(counters.rowsWritten)
            / static_cast<double>(std::max<std::uint64_t>(1, counters.transactions));
    std::printf("%-34s %.1f row writes per transaction\n", "", perTransaction);
    figures["rowsPerTransaction"] = perTransaction;
    return figures;
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Sends one request over each connection and keeps it open.
nlohmann::json measureConnections(const std::string &name, int port)
{
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (int i = 0; i < kConnections; ++i) {
        clients.push_back(std::make_unique<httplib::Client>("127.0.0.1", port));
        clients.back()->set_keep_alive(true);
    }
    const std::size_t before = residentBytes();
    int failed = 0;
    for (const auto &client : clients) {
        const auto result = client->Get("/shop/x");
        failed += result && result->status == 200 ? 0 : 1;
    }
    const double perConnection =
            (static_cast<double>(residentBytes()) - static_cast<double>(before)) / kConnections;
    std::printf("%-34s %8.0f bytes a connection (%d connections, failed %d)\n", name.c_str(),
                perConnection, kConnections, failed);
    return {{"bytesPerConnection", perConnection}, {"failed", failed}};
}

nlohmann::json runProxy(std::uint64_t seed)
{
    nlohmann::json figures;
    {
        const Upstream upstream(kConnections);
        figures["connectionsThreads"] =
                measureConnections("idle connections, thread for each", upstream.port());
    }
    const Upstreams upstreams = startUpstreams();
    const int directPort = upstreams.front()->port();
    const auto proxy = std::move(
            serving::CallerProxy::open({}, dispatcherFor(upstreams, seed), nullptr).value());
    figures["connectionsProxy"] = measureConnections("idle connections, proxy", proxy->port());
    figures["directOne"] = report("direct, 1 caller", callMany(directPort, 1, kRequests, false));
    figures["proxyOne"] =
            report("through the proxy, 1 caller", callMany(proxy->port(), 1, kRequests, false));
    figures["directMany"] = report("direct, 16 callers",
                                   callMany(directPort, kParallelCallers, kRequests * 4, false));
    figures["proxyMany"] = report("through the proxy, 16 callers",
                                  callMany(proxy->port(), kParallelCallers, kRequests * 4, false));
    figures["proxyThreads"] = proxy->counters().threads;
    std::printf("%-34s %zu threads\n", "", proxy->counters().threads);
    figures["keyedSingle"] = measureKeyed("with a key, one claim a commit", upstreams, seed, 1);
    figures["keyedGroup"] = measureKeyed("with a key, group commit", upstreams, seed, 40);
    return figures;
}

const Registration kRegistration({.name = "proxy",
                                  .description = "Overhead of the proxy, of claims, and memory per "
                                                 "open connection",
                                  .run = runProxy});

} // namespace

} // namespace chicorywick::measure
