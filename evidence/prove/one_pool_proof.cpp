#include "evidence/prove/proof.h"
#include "evidence/prove/simulated_fleet.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

constexpr int kPools = 3;
constexpr int kInstances = 10;
constexpr int kCalls = 4000;
constexpr int kOperators = 3;

/// @brief The pool and version of an instance from a reply to an operator.
struct PoolReply
{
    std::string id;
    std::string pool;
    std::uint64_t version = 0;
};

/// @brief One run in which operators add, move, remove and release instances while drivers maintain
/// them. Guards against an instance that is in no pool or counted in two after concurrent or
/// repeated calls.
class OnePoolRun
{
public:
    explicit OnePoolRun(std::uint64_t seed)
        : fleet_(seed)
    {}

    std::string run();

private:
    void setUp();
    void injectFaults();
    void performOperatorCall();
    void addOrMove();
    void removeOrRelease();
    void changeWave();
    template <typename Request, typename Response>
    void callWithRetries(const std::string &service, const std::string &method, Request request,
                         Response &response);

    std::string check();
    std::string checkCounts(const FleetRows &rows) const;
    std::string checkGrants(const FleetRows &rows) const;
    std::string checkChanges(const FleetRows &rows);
    std::string checkReplies();
    bool hasOperationRow(std::uint64_t version) const;

    std::string anyInstance() { return "i" + std::to_string(fleet_.rng().below(kInstances)); }
    std::string anyPool() { return "p" + std::to_string(fleet_.rng().below(kPools)); }

    SimulatedFleet fleet_;
    FleetRows lastRows_;
    /// Pool of each instance by row version.
    std::map<std::pair<std::string, std::uint64_t>, std::string> history_;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<PoolReply> replies_;
};

void OnePoolRun::setUp()
{
    for (int i = 0; i < kPools; ++i) {
        v1::Budget budget;
        budget.set_max_unavailable(2);
        fleet_.createPool("p" + std::to_string(i), budget);
    }
    for (int i = 0; i < kInstances; ++i)
        fleet_.addInstance("i" + std::to_string(i), anyPool(), "z" + std::to_string(i % 2),
                           "r" + std::to_string(i % 4));
    lastRows_ = fleet_.rows();
}

// A reply that leaves the outcome open is followed by a retry with the same request id.
template <typename Request, typename Response>
void OnePoolRun::callWithRetries(const std::string &service, const std::string &method,
                                 Request request, Response &response)
{
    constexpr int kMaxAttempts = 4;
    constexpr int kOk = 200;
    constexpr int kFirstServerError = 500;
    request.set_request_id(fleet_.newRequestId());
    for (int i = 0; i < kMaxAttempts; ++i) {
        const twirp::HttpReply reply = fleet_.call(service, method, request);
        if (reply.status == kOk)
            response.ParseFromString(reply.body);
        if (reply.status < kFirstServerError)
            return;
    }
}

std::string OnePoolRun::checkReplies()
{
    std::vector<PoolReply> replies;
    std::swap(replies, replies_);
    for (const PoolReply &poolReply : replies) {
        const auto found = history_.find({poolReply.id, poolReply.version});
        if (found == history_.end() || found->second != poolReply.pool)
            return "a reply to an operator reported that " + poolReply.id + " is in "
                   + poolReply.pool + " at version " + std::to_string(poolReply.version)
                   + "; the table never had such a row";
    }
    return {};
}

void OnePoolRun::addOrMove()
{
    const std::string id = anyInstance();
    const std::string pool = anyPool();
    v1::Instance response;
    if (fleet_.rng().chance(0.3)) {
        v1::AddInstanceRequest request;
        request.set_id(id);
        request.set_pool(pool);
        request.set_zone("z0");
        request.set_rack("r0");
        callWithRetries("FleetService", "AddInstance", request, response);
    } else {
        v1::MoveInstanceRequest request;
        request.set_id(id);
        request.set_to_pool(pool);
        callWithRetries("FleetService", "MoveInstance", request, response);
    }
    if (response.version() != 0)
        replies_.push_back({id, pool, response.version()});
}

void OnePoolRun::removeOrRelease()
{
    v1::Instance response;
    if (fleet_.rng().chance(0.5)) {
        v1::RemoveInstanceRequest request;
        request.set_id(anyInstance());
        callWithRetries("FleetService", "RemoveInstance", request, response);
        return;
    }
    v1::ReleaseInstanceRequest request;
    request.set_id(anyInstance());
    callWithRetries("FleetService", "ReleaseInstance", request, response);
}

void OnePoolRun::changeWave()
{
    v1::Wave response;
    if (fleet_.rng().chance(0.5)) {
        v1::CreateWaveRequest request;
        request.set_id("w" + std::to_string(fleet_.rng().below(20)));
        request.set_pool(anyPool());
        callWithRetries("WaveService", "CreateWave", request, response);
        return;
    }
    v1::WaveRequest request;
    request.set_id("w" + std::to_string(fleet_.rng().below(20)));
    const std::vector<std::string> methods = {"PauseWave", "ResumeWave", "AbortWave"};
    callWithRetries("WaveService", methods[fleet_.rng().below(methods.size())], request, response);
}

void OnePoolRun::performOperatorCall()
{
    const std::uint64_t kind = fleet_.rng().below(10);
    if (kind < 6)
        addOrMove();
    else if (kind < 8)
        removeOrRelease();
    else
        changeWave();
}

void OnePoolRun::injectFaults()
{
    if (fleet_.rng().chance(0.3))
        fleet_.advance(std::chrono::milliseconds(1 + fleet_.rng().below(500)));
    if (fleet_.rng().chance(0.01))
        fleet_.platform().setFaults(fleet_.drawFaults());
    if (fleet_.rng().chance(0.005))
        fleet_.platform().setRebootFails(anyInstance(), fleet_.rng().chance(0.5));
    if (fleet_.rng().chance(0.005))
        fleet_.platform().restoreInstance(anyInstance());
}

std::string OnePoolRun::checkCounts(const FleetRows &rows) const
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto &[id, instance] : rows.instances) {
        if (!rows.pools.contains(instance.pool()))
            return id + " is in pool '" + instance.pool() + "', which does not exist";
        ++counts[instance.pool()];
    }
    for (const auto &[name, pool] : rows.pools) {
        if (pool.member_count() != counts[name])
            return name + " counts " + std::to_string(pool.member_count()) + " members, but "
                   + std::to_string(counts[name]) + " instances reference it";
    }
    return {};
}

std::string OnePoolRun::checkGrants(const FleetRows &rows) const
{
    std::map<std::string, int> grants;
    for (const auto &[name, pool] : rows.pools) {
        for (const v1::Grant &grant : pool.grants()) {
            const auto instance = rows.instances.find(grant.instance());
            if (instance == rows.instances.end() || instance->second.pool() != name)
                return name + " has a grant for " + grant.instance() + ", which is not a member";
            if (instance->second.fence() != grant.fence())
                return "the grant of " + grant.instance()
                       + " has a different fence than the instance";
            ++grants[grant.instance()];
        }
    }
    for (const auto &[id, instance] : rows.instances) {
        const int expected = instance.state() == v1::MAINTENANCE_STATE_IN_SERVICE ? 0 : 1;
        if (grants[id] != expected)
            return id + " is " + v1::MaintenanceState_Name(instance.state()) + " with "
                   + std::to_string(grants[id]) + " grants";
    }
    return {};
}

bool OnePoolRun::hasOperationRow(std::uint64_t version) const
{
    const std::vector<platform::Row> rows = fleet_.platform().rowsWithPrefix("op/");
    return std::any_of(rows.begin(), rows.end(),
                       [&](const platform::Row &row) { return row.version == version; });
}

std::string OnePoolRun::checkChanges(const FleetRows &rows)
{
    for (const auto &[id, instance] : rows.instances) {
        const std::uint64_t version = rows.instanceVersions.at(id);
        history_[{id, version}] = instance.pool();
        if (fences_[id] > instance.fence())
            return "the fence of " + id + " decreased";
        fences_[id] = instance.fence();
        const auto old = lastRows_.instances.find(id);
        const bool isMoved =
                old != lastRows_.instances.end() && old->second.pool() != instance.pool();
        if (!isMoved && old != lastRows_.instances.end())
            continue;
        if (!hasOperationRow(version))
            return id + " changed its pool without an operation in the same transaction";
        if (isMoved && old->second.state() != v1::MAINTENANCE_STATE_IN_SERVICE)
            return id + " was moved while under maintenance";
    }
    return {};
}

std::string OnePoolRun::check()
{
    const FleetRows rows = fleet_.rows();
    const std::vector<std::string> changes = describeChanges(lastRows_, rows);
    for (const std::string &change : changes)
        fleet_.addTraceLine(change);
    std::string violation;
    if (!changes.empty())
        violation = checkCounts(rows);
    if (!changes.empty() && violation.empty())
        violation = checkGrants(rows);
    if (violation.empty())
        violation = checkChanges(rows);
    if (violation.empty())
        violation = checkReplies();
    lastRows_ = rows;
    return violation;
}

std::string OnePoolRun::run()
{
    setUp();
    std::vector<std::unique_ptr<SteppedThread>> threads;
    for (int i = 0; i < kOperators; ++i)
        threads.push_back(fleet_.makeOperator([this] { performOperatorCall(); }));
    threads.push_back(fleet_.makeDriver());
    threads.push_back(fleet_.makeDriver());
    std::string violation;
    for (int i = 0; i < kCalls && violation.empty(); ++i) {
        injectFaults();
        threads[fleet_.rng().below(threads.size())]->resume();
        violation = check();
    }
    return violation.empty() ? violation : violation + "\n" + fleet_.trace();
}

const Registration kOnePool({.name = "one-pool",
                             .description = "each instance is in exactly one pool under "
                                            "concurrent operators, drivers and table faults",
                             .defaultRuns = 100,
                             .run = [](std::uint64_t seed) { return OnePoolRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
