#include "evidence/prove/fleet_world.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

constexpr int kPools = 3;
constexpr int kInstances = 10;
constexpr int kCalls = 4000;
constexpr int kOperators = 3;

/// @brief The pool of an instance as an operator was told.
struct Answer
{
    std::string id;
    std::string pool;
    std::uint64_t version = 0;
};

/// @brief One run: operators add, move, remove and release instances while drivers maintain them.
class OnePoolRun
{
public:
    explicit OnePoolRun(std::uint64_t seed)
        : world_(seed)
    {}

    std::string run();

private:
    void setUp();
    void chaos();
    void act();
    void addOrMove();
    void removeOrRelease();
    void changeWave();
    template <typename Request, typename Response>
    void callRepeatedly(const std::string &service, const std::string &method, Request request,
                        Response &response);

    std::string check();
    std::string checkCounts(const FleetRows &rows) const;
    std::string checkGrants(const FleetRows &rows) const;
    std::string checkChanges(const FleetRows &rows);
    std::string checkAnswers();
    bool isOperation(std::uint64_t version) const;

    std::string anyInstance() { return "i" + std::to_string(world_.rng().below(kInstances)); }
    std::string anyPool() { return "p" + std::to_string(world_.rng().below(kPools)); }

    FleetWorld world_;
    FleetRows last_;
    /// Pool of an instance by the version of its row.
    std::map<std::pair<std::string, std::uint64_t>, std::string> history_;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<Answer> answers_;
};

void OnePoolRun::setUp()
{
    for (int i = 0; i < kPools; ++i) {
        v1::Budget budget;
        budget.set_max_unavailable(2);
        world_.createPool("p" + std::to_string(i), budget);
    }
    for (int i = 0; i < kInstances; ++i)
        world_.addInstance("i" + std::to_string(i), anyPool(), "z" + std::to_string(i % 2),
                           "r" + std::to_string(i % 4));
    last_ = world_.rows();
}

// An answer that says nothing certain is followed by a repeat with the same request id.
template <typename Request, typename Response>
void OnePoolRun::callRepeatedly(const std::string &service, const std::string &method,
                                Request request, Response &response)
{
    constexpr int kTries = 4;
    constexpr int kOk = 200;
    constexpr int kFirstUncertain = 500;
    request.set_request_id(world_.newRequestId());
    for (int i = 0; i < kTries; ++i) {
        const twirp::HttpReply reply = world_.call(service, method, request);
        if (reply.status == kOk)
            response.ParseFromString(reply.body);
        if (reply.status < kFirstUncertain)
            return;
    }
}

std::string OnePoolRun::checkAnswers()
{
    std::vector<Answer> answers;
    std::swap(answers, answers_);
    for (const Answer &answer : answers) {
        const auto found = history_.find({answer.id, answer.version});
        if (found == history_.end() || found->second != answer.pool)
            return "an operator was told that " + answer.id + " is in " + answer.pool
                   + " at version " + std::to_string(answer.version)
                   + "; the table never held that";
    }
    return {};
}

void OnePoolRun::addOrMove()
{
    const std::string id = anyInstance();
    const std::string pool = anyPool();
    v1::Instance answer;
    if (world_.rng().chance(0.3)) {
        v1::AddInstanceRequest request;
        request.set_id(id);
        request.set_pool(pool);
        request.set_zone("z0");
        request.set_rack("r0");
        callRepeatedly("FleetService", "AddInstance", request, answer);
    } else {
        v1::MoveInstanceRequest request;
        request.set_id(id);
        request.set_to_pool(pool);
        callRepeatedly("FleetService", "MoveInstance", request, answer);
    }
    if (answer.version() != 0)
        answers_.push_back({id, pool, answer.version()});
}

void OnePoolRun::removeOrRelease()
{
    v1::Instance answer;
    if (world_.rng().chance(0.5)) {
        v1::RemoveInstanceRequest request;
        request.set_id(anyInstance());
        callRepeatedly("FleetService", "RemoveInstance", request, answer);
        return;
    }
    v1::ReleaseInstanceRequest request;
    request.set_id(anyInstance());
    callRepeatedly("FleetService", "ReleaseInstance", request, answer);
}

void OnePoolRun::changeWave()
{
    v1::Wave answer;
    if (world_.rng().chance(0.5)) {
        v1::CreateWaveRequest request;
        request.set_id("w" + std::to_string(world_.rng().below(20)));
        request.set_pool(anyPool());
        callRepeatedly("WaveService", "CreateWave", request, answer);
        return;
    }
    v1::WaveRequest request;
    request.set_id("w" + std::to_string(world_.rng().below(20)));
    const std::vector<std::string> methods = {"PauseWave", "ResumeWave", "AbortWave"};
    callRepeatedly("WaveService", methods[world_.rng().below(methods.size())], request, answer);
}

void OnePoolRun::act()
{
    const std::uint64_t kind = world_.rng().below(10);
    if (kind < 6)
        addOrMove();
    else if (kind < 8)
        removeOrRelease();
    else
        changeWave();
}

void OnePoolRun::chaos()
{
    if (world_.rng().chance(0.3))
        world_.advance(std::chrono::milliseconds(1 + world_.rng().below(500)));
    if (world_.rng().chance(0.01))
        world_.platform().setFaults(world_.drawFaults());
    if (world_.rng().chance(0.005))
        world_.platform().setRebootFails(anyInstance(), world_.rng().chance(0.5));
    if (world_.rng().chance(0.005))
        world_.platform().restoreInstance(anyInstance());
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
            return name + " counts " + std::to_string(pool.member_count()) + " members, "
                   + std::to_string(counts[name]) + " instances name it";
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
                return name + " has a grant for " + grant.instance() + ", which is no member";
            if (instance->second.fence() != grant.fence())
                return "the grant of " + grant.instance() + " has another fence than the instance";
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

bool OnePoolRun::isOperation(std::uint64_t version) const
{
    const std::vector<platform::Row> rows = world_.platform().rowsWithPrefix("op/");
    return std::any_of(rows.begin(), rows.end(),
                       [&](const platform::Row &row) { return row.version == version; });
}

std::string OnePoolRun::checkChanges(const FleetRows &rows)
{
    for (const auto &[id, instance] : rows.instances) {
        const std::uint64_t version = rows.instanceVersions.at(id);
        history_[{id, version}] = instance.pool();
        if (fences_[id] > instance.fence())
            return "the fence of " + id + " went down";
        fences_[id] = instance.fence();
        const auto old = last_.instances.find(id);
        const bool isMoved = old != last_.instances.end() && old->second.pool() != instance.pool();
        if (!isMoved && old != last_.instances.end())
            continue;
        if (!isOperation(version))
            return id + " changed its pool without an operation in the same transaction";
        if (isMoved && old->second.state() != v1::MAINTENANCE_STATE_IN_SERVICE)
            return id + " was moved while it was under maintenance";
    }
    return {};
}

std::string OnePoolRun::check()
{
    const FleetRows rows = world_.rows();
    const std::vector<std::string> changes = describeChanges(last_, rows);
    for (const std::string &change : changes)
        world_.note(change);
    std::string violation;
    if (!changes.empty())
        violation = checkCounts(rows);
    if (!changes.empty() && violation.empty())
        violation = checkGrants(rows);
    if (violation.empty())
        violation = checkChanges(rows);
    if (violation.empty())
        violation = checkAnswers();
    last_ = rows;
    return violation;
}

std::string OnePoolRun::run()
{
    setUp();
    std::vector<std::unique_ptr<SteppedThread>> threads;
    for (int i = 0; i < kOperators; ++i)
        threads.push_back(world_.makeOperator([this] { act(); }));
    threads.push_back(world_.makeDriver());
    threads.push_back(world_.makeDriver());
    std::string violation;
    for (int i = 0; i < kCalls && violation.empty(); ++i) {
        chaos();
        threads[world_.rng().below(threads.size())]->resume();
        violation = check();
    }
    return violation.empty() ? violation : violation + "\n" + world_.trace();
}

const Registration kOnePool({.name = "one-pool",
                             .description = "each instance is in exactly one pool, under racing "
                                            "operators, drivers and table faults",
                             .defaultRuns = 100,
                             .run = [](std::uint64_t seed) { return OnePoolRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
