#include <chicorywick/platform/memory_platform.h>

#include <nlohmann/json.hpp>

#include <thread>

namespace chicorywick::platform {

namespace {

// Default task behaviour, read from a payload such as {"run_ms": 50, "fail": true}.
TaskBehaviour behaviourFromPayload(const TaskStart &start)
{
    TaskBehaviour behaviour;
    behaviour.cpuMillis = start.resources.cpuMillis;
    behaviour.memoryMib = start.resources.memoryMib;
    const auto payload = nlohmann::json::parse(start.payload, nullptr, false);
    if (!payload.is_object())
        return behaviour;
    if (payload.contains("run_ms") && payload["run_ms"].is_number_unsigned())
        behaviour.runTime = std::chrono::milliseconds(payload["run_ms"].get<std::int64_t>());
    if (payload.contains("fail") && payload["fail"].is_boolean())
        behaviour.succeeds = !payload["fail"].get<bool>();
    return behaviour;
}

} // namespace

MemoryPlatform::MemoryPlatform(MemoryPlatformOptions options)
    : options_(std::move(options))
    , rng_(options_.seed)
    , writes_({.tokensPerSecond = options_.tableWritesPerSecond,
               .burst = std::max<double>(kMaxTransactionOperations,
                                         options_.tableWritesPerSecond / 4)})
    , reads_({.tokensPerSecond = options_.tableReadsPerSecond,
              .burst = options_.tableReadsPerSecond / 4})
    , behaviour_(behaviourFromPayload)
{}

void MemoryPlatform::setFaults(const FaultPlan &faults)
{
    const Lock lock(mutex_);
    faults_ = faults;
}

FaultPlan MemoryPlatform::faults() const
{
    const Lock lock(mutex_);
    return faults_;
}

void MemoryPlatform::setTaskBehaviour(std::function<TaskBehaviour(const TaskStart &)> behaviour)
{
    const Lock lock(mutex_);
    behaviour_ = std::move(behaviour);
}

PlatformCounters MemoryPlatform::counters() const
{
    const Lock lock(mutex_);
    return counters_;
}

void MemoryPlatform::setCallHook(CallHook hook)
{
    callHook_ = std::move(hook);
}

std::vector<Row> MemoryPlatform::rowsWithPrefix(const std::string &prefix) const
{
    const Lock lock(mutex_);
    std::vector<Row> rows;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix);
         ++row)
        rows.push_back(row->second);
    return rows;
}

base::Result<MemoryPlatform::Lock> MemoryPlatform::admitCall(ServiceFaults FaultPlan::*service,
                                                             const std::string &zone)
{
    if (callHook_)
        callHook_(service);
    Lock lock(mutex_);
    const base::Duration delay = (faults_.*service).delay;
    if (delay > base::Duration::zero()) {
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    if ((faults_.*service).down || faults_.partitionedZones.contains(zone))
        return base::makeError(base::Code::PlatformUnavailable,
                               "unreachable from zone '" + zone + "'");
    return lock;
}

bool MemoryPlatform::shouldInject(double probability)
{
    return probability > 0 && rng_.chance(probability);
}

base::Result<std::optional<Row>> MemoryPlatform::getRow(const std::string &zone,
                                                        const std::string &key)
{
    const auto lock = admitCall(&FaultPlan::table, zone);
    if (!lock)
        return lock.error();
    if (!reads_.tryTake(options_.clock.now())) {
        ++counters_.tableOverloads;
        return base::makeError(base::Code::PlatformUnavailable, "read capacity exceeded");
    }
    ++counters_.tableReads;
    applyLateCommit();
    if (shouldInject(faults_.table.loseAnswer) || shouldInject(faults_.table.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, "read of " + key);
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return std::optional<Row>();
    return std::optional<Row>(found->second);
}

base::Result<ScanPage> MemoryPlatform::scanRows(const std::string &zone, const std::string &prefix,
                                                const std::string &after, std::uint32_t limit)
{
    constexpr std::size_t kRowsPerRead = 100;
    const auto lock = admitCall(&FaultPlan::table, zone);
    if (!lock)
        return lock.error();
    applyLateCommit();
    ScanPage page;
    auto row = after > prefix ? rows_.upper_bound(after) : rows_.lower_bound(prefix);
    const std::size_t bound = std::min(limit, kMaxScanRows);
    for (; row != rows_.end() && row->first.starts_with(prefix); ++row) {
        if (page.rows.size() == bound) {
            page.more = true;
            break;
        }
        page.rows.push_back(row->second);
    }
    const std::size_t cost = page.rows.size() / kRowsPerRead + 1;
    if (!reads_.tryTake(options_.clock.now(), static_cast<double>(cost))) {
        ++counters_.tableOverloads;
        return base::makeError(base::Code::PlatformUnavailable, "read capacity exceeded");
    }
    counters_.tableReads += cost;
    if (shouldInject(faults_.table.loseAnswer) || shouldInject(faults_.table.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, "scan of " + prefix);
    return page;
}

base::Result<std::uint64_t> MemoryPlatform::commit(const std::string &zone,
                                                   const Transaction &transaction)
{
    const auto lock = admitCall(&FaultPlan::table, zone);
    if (!lock)
        return lock.error();
    const std::size_t writes = transaction.puts.size() + transaction.deletes.size();
    if (writes + transaction.conditions.size() > kMaxTransactionOperations)
        return base::makeError(base::Code::TableTransactionTooLarge, "too many operations");
    for (const Put &put : transaction.puts) {
        if (put.value.size() > kMaxRowBytes)
            return base::makeError(base::Code::TableTransactionTooLarge, "row " + put.key);
    }
    if (!writes_.tryTake(options_.clock.now(), static_cast<double>(writes))) {
        ++counters_.tableOverloads;
        return base::makeError(base::Code::PlatformUnavailable, "write capacity exceeded");
    }
    counters_.tableWrites += writes;
    applyLateCommit();
    if (shouldInject(faults_.table.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, transaction.writer);
    if (shouldInject(faults_.table.lateCommit)) {
        lateCommits_.push_back(transaction);
        return base::makeError(base::Code::PlatformUnknownOutcome, transaction.writer);
    }
    const auto result = apply(transaction);
    if (shouldInject(faults_.table.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, transaction.writer);
    return result;
}

// Applies a delayed transaction at a random later call; its conditions are checked then.
void MemoryPlatform::applyLateCommit()
{
    constexpr double kApplyProbability = 0.3;
    if (lateCommits_.empty() || !rng_.chance(kApplyProbability))
        return;
    const std::size_t index = rng_.below(lateCommits_.size());
    const Transaction transaction = lateCommits_[index];
    lateCommits_.erase(lateCommits_.begin() + static_cast<std::ptrdiff_t>(index));
    static_cast<void>(apply(transaction));
}

base::Result<std::uint64_t> MemoryPlatform::apply(const Transaction &transaction)
{
    std::string conflicts;
    for (const Condition &condition : transaction.conditions) {
        const auto found = rows_.find(condition.key);
        const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
        if (version != condition.version)
            conflicts += (conflicts.empty() ? "" : ", ") + condition.key;
    }
    if (!conflicts.empty()) {
        ++counters_.tableConflicts;
        return base::makeError(base::Code::TableConflict, conflicts);
    }
    ++version_;
    for (const Put &put : transaction.puts)
        rows_[put.key] = Row{put.key, put.value, version_, transaction.writer};
    for (const std::string &key : transaction.deletes)
        rows_.erase(key);
    return version_;
}

base::Result<void> MemoryPlatform::putObject(const std::string &zone, const std::string &name,
                                             const std::string &content)
{
    const auto lock = admitCall(&FaultPlan::objects, zone);
    if (!lock)
        return lock.error();
    ++counters_.objectCalls;
    if (shouldInject(faults_.objects.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, name);
    objects_.insert_or_assign(name, content);
    if (shouldInject(faults_.objects.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, name);
    return base::ok();
}

base::Result<std::string> MemoryPlatform::getObject(const std::string &zone,
                                                    const std::string &name)
{
    const auto lock = admitCall(&FaultPlan::objects, zone);
    if (!lock)
        return lock.error();
    ++counters_.objectCalls;
    if (shouldInject(faults_.objects.loseRequest) || shouldInject(faults_.objects.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, name);
    const auto found = objects_.find(name);
    if (found == objects_.end())
        return base::makeError(base::Code::ObjectNotFound, name);
    return found->second;
}

base::Result<void> MemoryPlatform::removeObject(const std::string &zone, const std::string &name)
{
    const auto lock = admitCall(&FaultPlan::objects, zone);
    if (!lock)
        return lock.error();
    ++counters_.objectCalls;
    objects_.erase(name);
    return base::ok();
}

} // namespace chicorywick::platform
