#include "evidence/prove/claim_simulation.h"
#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"

#include <httplib.h>

// Callers repeat requests with idempotency keys through several proxies that share a faulty table.
// The records of the upstreams show how often each key was executed. Guards against a second
// execution after a lost reply or a delayed commit of the table.

namespace chicorywick::prove {

namespace {

constexpr int kProxies = 3;
constexpr int kUpstreams = 3;
constexpr int kCallers = 8;
constexpr int kRequestsPerCaller = 40;
constexpr std::uint64_t kKeys = 60;
constexpr int kDeadlineMillis = 150;
constexpr int kSimulationsPerRun = 400;

/// @brief The reply to one request with an idempotency key. The id is the key, "#", caller and
/// request number.
struct KeyedReply
{
    std::string id;
    std::string key;
    bool hasResponse = false;
    int status = 0;
    std::string outcome;
    std::string code;
    std::string responseTo;
    std::size_t size = 0;
    std::string body;
};

std::string keyOf(const std::string &id)
{
    return id.substr(0, id.find('#'));
}

/// @brief The components of one entry instance.
struct Entry
{
    std::shared_ptr<serving::Dispatcher> dispatcher;
    std::shared_ptr<serving::IdempotencyStore> store;
    std::unique_ptr<serving::CallerProxy> proxy;
};

KeyedReply sendKeyed(int port, const std::string &key, const std::string &id, bool hasOtherBody)
{
    httplib::Client client("127.0.0.1", port);
    const httplib::Headers headers{{"X-Id", id},
                                   {"X-Caller", "c"},
                                   {"Idempotency-Key", key},
                                   {"X-Request-Deadline-Ms", std::to_string(kDeadlineMillis)}};
    const auto result =
            client.Post("/shop/pay", headers, hasOtherBody ? "other" : key, "text/plain");
    KeyedReply reply{.id = id, .key = key};
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

platform::FaultPlan drawFaults(base::Rng &rng)
{
    platform::FaultPlan faults;
    faults.table.delay = std::chrono::microseconds(500);
    faults.table.down = rng.chance(0.15);
    faults.table.loseAnswer = rng.uniform() * 0.3;
    faults.table.loseRequest = rng.uniform() * 0.2;
    faults.table.lateCommit = rng.uniform() * 0.3;
    faults.objects.down = rng.chance(0.2);
    return faults;
}

std::string checkReply(const KeyedReply &reply, const std::vector<UpstreamRecord> &records)
{
    if (!reply.hasResponse)
        return "no response";
    const bool wasSent =
            std::any_of(records.begin(), records.end(), [&](const UpstreamRecord &record) {
                return record.id == reply.id && record.fault != UpstreamFault::Refuse;
            });
    if (reply.outcome == "not-run")
        return wasSent ? "reported not-run, but the request was sent" : "";
    if (reply.outcome == "unknown")
        return "";
    if (reply.outcome != "completed")
        return "no valid outcome";
    if (keyOf(reply.responseTo) != reply.key)
        return "received the response to '" + reply.responseTo + "'";
    const std::size_t size = reply.status == 204 ? 0 : reply.size;
    return reply.body == bodyFor(reply.responseTo, size) ? "" : "received an incomplete response";
}

std::string checkKey(const std::string &key, const std::vector<KeyedReply> &replies,
                     const std::vector<UpstreamRecord> &records)
{
    const auto sent =
            std::count_if(records.begin(), records.end(), [&](const UpstreamRecord &record) {
                return keyOf(record.id) == key && record.fault != UpstreamFault::Refuse;
            });
    if (sent > 1)
        return "sent to upstreams " + std::to_string(sent) + " times";
    std::string responseTo;
    for (const KeyedReply &reply : replies) {
        if (reply.key != key || reply.outcome != "completed")
            continue;
        if (!responseTo.empty() && responseTo != reply.responseTo)
            return "received two different responses, to " + responseTo + " and "
                   + reply.responseTo;
        responseTo = reply.responseTo;
    }
    return {};
}

std::string traceOfKey(const std::string &key, const std::vector<KeyedReply> &replies,
                       const std::vector<UpstreamRecord> &records)
{
    std::string text;
    for (const KeyedReply &reply : replies) {
        if (reply.key == key)
            text += "  " + reply.id + " reply: " + std::to_string(reply.status) + ' '
                    + reply.outcome + " code " + reply.code + " for '" + reply.responseTo + "'\n";
    }
    for (const UpstreamRecord &record : records) {
        if (keyOf(record.id) == key)
            text += "  " + record.upstream + " received " + record.id + ": "
                    + faultName(record.fault) + (record.ran ? ", ran" : ", did not run") + '\n';
    }
    return text;
}

std::string checkReplies(const std::vector<KeyedReply> &replies,
                         const std::vector<UpstreamRecord> &records)
{
    for (const KeyedReply &reply : replies) {
        const std::string violation = checkReply(reply, records);
        if (!violation.empty())
            return reply.id + ": " + violation + '\n' + traceOfKey(reply.key, replies, records);
    }
    for (std::uint64_t i = 0; i < kKeys; ++i) {
        std::string key = "k" + std::to_string(i);
        const std::string violation = checkKey(key, replies, records);
        if (!violation.empty())
            return key.append(": ").append(violation).append("\n").append(
                    traceOfKey("k" + std::to_string(i), replies, records));
    }
    return {};
}

std::string runProxies(std::uint64_t seed)
{
    base::Rng rng(seed);
    auto memoryPlatform =
            std::make_shared<platform::MemoryPlatform>(platform::MemoryPlatformOptions{
                    .seed = seed, .tableWritesPerSecond = 5000, .tableReadsPerSecond = 20000});
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<serving::UpstreamTarget> targets;
    for (int i = 0; i < kUpstreams; ++i) {
        const UpstreamPlan plan{.faultPercent = 30,
                                .lateResponseDelay =
                                        std::chrono::milliseconds(kDeadlineMillis + 20),
                                .serviceTime = std::chrono::milliseconds(2),
                                .maxBodyBytes = 60'000};
        upstreams.push_back(std::make_unique<FakeUpstream>("u" + std::to_string(i), rng(), plan));
        targets.push_back(upstreams.back()->target());
    }
    std::vector<Entry> entries;
    for (int i = 0; i < kProxies; ++i) {
        Entry entry{.dispatcher = makeDispatcher(rng(), targets),
                    .store = makeStore(memoryPlatform)};
        entry.proxy =
                std::move(serving::CallerProxy::open({}, entry.dispatcher, entry.store).value());
        entries.push_back(std::move(entry));
    }
    std::mutex mutex;
    std::vector<KeyedReply> replies;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, callerRng = rng.fork()]() mutable {
            for (int i = 0; i < kRequestsPerCaller; ++i) {
                const std::string key = "k" + std::to_string(callerRng.below(kKeys));
                const std::string id = key + '#' + std::to_string(caller) + '-' + std::to_string(i);
                const Entry &entry = entries[callerRng.below(entries.size())];
                KeyedReply reply = sendKeyed(entry.proxy->port(), key, id, callerRng.chance(0.05));
                if (callerRng.chance(0.1))
                    memoryPlatform->setFaults(drawFaults(callerRng));
                const std::lock_guard lock(mutex);
                replies.push_back(std::move(reply));
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    entries.clear();
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : upstreams) {
        upstream->shutDown();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    return checkReplies(replies, records);
}

std::string runAtMostOnce(std::uint64_t seed)
{
    base::Rng rng(seed);
    for (int i = 0; i < kSimulationsPerRun; ++i) {
        std::string violation = simulateClaims(rng());
        if (!violation.empty())
            return violation;
    }
    return runProxies(seed);
}

const Registration kRegistration({.name = "at-most-once",
                                  .description = "a request with an idempotency key runs at most "
                                                 "once, through any proxy and under table faults",
                                  .defaultRuns = 8,
                                  .run = runAtMostOnce});

} // namespace

} // namespace chicorywick::prove
