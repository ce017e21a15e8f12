#include "evidence/prove/claim_simulation.h"
#include "evidence/prove/fake_upstream.h"
#include "evidence/prove/proof.h"
#include "evidence/prove/proxy_fixture.h"

#include <httplib.h>

// Callers repeat requests with idempotency keys through several proxies that share a faulty table.
// The record of the upstreams shows how often each key ran.

namespace chicorywick::prove {

namespace {

constexpr int kProxies = 3;
constexpr int kUpstreams = 3;
constexpr int kCallers = 8;
constexpr int kRequestsPerCaller = 40;
constexpr std::uint64_t kKeys = 60;
constexpr int kDeadlineMillis = 150;
constexpr int kSimulationsPerRun = 400;

/// @brief What one request with a key was told. The id is key#instance.
struct KeyedAnswer
{
    std::string id;
    std::string key;
    bool hasResponse = false;
    int status = 0;
    std::string outcome;
    std::string code;
    std::string isFor;
    std::size_t size = 0;
    std::string body;
};

std::string keyOf(const std::string &id)
{
    return id.substr(0, id.find('#'));
}

/// @brief One entry instance: proxy, dispatcher and store.
struct Entry
{
    std::shared_ptr<serving::Dispatcher> dispatcher;
    std::shared_ptr<serving::IdempotencyStore> store;
    std::unique_ptr<serving::CallerProxy> proxy;
};

KeyedAnswer sendKeyed(int port, const std::string &key, const std::string &id, bool isOther)
{
    httplib::Client client("127.0.0.1", port);
    const httplib::Headers headers{{"X-Id", id},
                                   {"X-Caller", "c"},
                                   {"Idempotency-Key", key},
                                   {"X-Request-Deadline-Ms", std::to_string(kDeadlineMillis)}};
    const auto result = client.Post("/shop/pay", headers, isOther ? "other" : key, "text/plain");
    KeyedAnswer answer{.id = id, .key = key};
    if (!result)
        return answer;
    answer.hasResponse = true;
    answer.status = result->status;
    answer.outcome = result->get_header_value("X-Request-Outcome");
    answer.code = result->get_header_value("X-Result-Code");
    answer.isFor = result->get_header_value("X-For");
    answer.size = static_cast<std::size_t>(
            std::strtoul(result->get_header_value("X-Size").c_str(), nullptr, 10));
    answer.body = result->body;
    return answer;
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

std::string judgeAnswer(const KeyedAnswer &answer, const std::vector<UpstreamRecord> &records)
{
    if (!answer.hasResponse)
        return "no response";
    const bool wasSent =
            std::any_of(records.begin(), records.end(), [&](const UpstreamRecord &record) {
                return record.id == answer.id && record.fault != UpstreamFault::Refuse;
            });
    if (answer.outcome == "not-run")
        return wasSent ? "told not-run, but it was sent" : "";
    if (answer.outcome == "unknown")
        return "";
    if (answer.outcome != "completed")
        return "no outcome";
    if (keyOf(answer.isFor) != answer.key)
        return "the response to '" + answer.isFor + "'";
    const std::size_t size = answer.status == 204 ? 0 : answer.size;
    return answer.body == bodyFor(answer.isFor, size) ? "" : "a response that is not whole";
}

std::string judgeKey(const std::string &key, const std::vector<KeyedAnswer> &answers,
                     const std::vector<UpstreamRecord> &records)
{
    const auto sent =
            std::count_if(records.begin(), records.end(), [&](const UpstreamRecord &record) {
                return keyOf(record.id) == key && record.fault != UpstreamFault::Refuse;
            });
    if (sent > 1)
        return "sent " + std::to_string(sent) + " times";
    std::string isFor;
    for (const KeyedAnswer &answer : answers) {
        if (answer.key != key || answer.outcome != "completed")
            continue;
        if (!isFor.empty() && isFor != answer.isFor)
            return "two responses, to " + isFor + " and " + answer.isFor;
        isFor = answer.isFor;
    }
    return {};
}

std::string traceOfKey(const std::string &key, const std::vector<KeyedAnswer> &answers,
                       const std::vector<UpstreamRecord> &records)
{
    std::string text;
    for (const KeyedAnswer &answer : answers) {
        if (answer.key == key)
            text += "  " + answer.id + " told: " + std::to_string(answer.status) + ' '
                    + answer.outcome + " code " + answer.code + " for '" + answer.isFor + "'\n";
    }
    for (const UpstreamRecord &record : records) {
        if (keyOf(record.id) == key)
            text += "  " + record.upstream + " received " + record.id + ": "
                    + faultName(record.fault) + (record.ran ? ", ran" : ", did not run") + '\n';
    }
    return text;
}

std::string judgeAll(const std::vector<KeyedAnswer> &answers,
                     const std::vector<UpstreamRecord> &records)
{
    for (const KeyedAnswer &answer : answers) {
        const std::string violation = judgeAnswer(answer, records);
        if (!violation.empty())
            return answer.id + ": " + violation + '\n' + traceOfKey(answer.key, answers, records);
    }
    for (std::uint64_t i = 0; i < kKeys; ++i) {
        std::string key = "k" + std::to_string(i);
        const std::string violation = judgeKey(key, answers, records);
        if (!violation.empty())
            return key.append(": ").append(violation).append("\n").append(
                    traceOfKey("k" + std::to_string(i), answers, records));
    }
    return {};
}

std::string runProxies(std::uint64_t seed)
{
    base::Rng rng(seed);
    auto memory = std::make_shared<platform::MemoryPlatform>(platform::MemoryPlatformOptions{
            .seed = seed, .tableWritesPerSecond = 5000, .tableReadsPerSecond = 20000});
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<serving::UpstreamTarget> targets;
    for (int i = 0; i < kUpstreams; ++i) {
        const UpstreamPlan plan{.faultPercent = 30,
                                .late = std::chrono::milliseconds(kDeadlineMillis + 20),
                                .serviceTime = std::chrono::milliseconds(2),
                                .maxBodyBytes = 60'000};
        upstreams.push_back(std::make_unique<FakeUpstream>("u" + std::to_string(i), rng(), plan));
        targets.push_back(upstreams.back()->target());
    }
    std::vector<Entry> entries;
    for (int i = 0; i < kProxies; ++i) {
        Entry entry{.dispatcher = makeDispatcher(rng(), targets), .store = makeStore(memory)};
        entry.proxy =
                std::move(serving::CallerProxy::open({}, entry.dispatcher, entry.store).value());
        entries.push_back(std::move(entry));
    }
    std::mutex mutex;
    std::vector<KeyedAnswer> answers;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller, own = rng.fork()]() mutable {
            for (int i = 0; i < kRequestsPerCaller; ++i) {
                const std::string key = "k" + std::to_string(own.below(kKeys));
                const std::string id = key + '#' + std::to_string(caller) + '-' + std::to_string(i);
                const Entry &entry = entries[own.below(entries.size())];
                KeyedAnswer answer = sendKeyed(entry.proxy->port(), key, id, own.chance(0.05));
                if (own.chance(0.1))
                    memory->setFaults(drawFaults(own));
                const std::lock_guard lock(mutex);
                answers.push_back(std::move(answer));
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    entries.clear();
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : upstreams) {
        upstream->die();
        for (const UpstreamRecord &record : upstream->records())
            records.push_back(record);
    }
    return judgeAll(answers, records);
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
                                  .description = "A request with a key runs at most once, through "
                                                 "any proxy and with a faulty table",
                                  .defaultRuns = 8,
                                  .run = runAtMostOnce});

} // namespace

} // namespace chicorywick::prove
