#include "evidence/prove/fleet_world.h"

#include <sstream>

namespace chicorywick::prove {

namespace {

constexpr std::size_t kTraceLines = 40;

template <typename Row>
void readRows(const platform::MemoryPlatform &platform, const std::string &prefix,
              std::map<std::string, Row> &rows, std::map<std::string, std::uint64_t> *versions)
{
    for (const platform::Row &row : platform.rowsWithPrefix(prefix)) {
        const std::string name = row.key.substr(prefix.size());
        rows[name].ParseFromString(row.value);
        if (versions != nullptr)
            (*versions)[name] = row.version;
    }
}

std::string describe(const v1::InstanceRow &row)
{
    return "pool=" + row.pool() + " state=" + v1::MaintenanceState_Name(row.state()).substr(18)
           + " fence=" + std::to_string(row.fence()) + " wave=" + row.wave();
}

std::string describe(const v1::PoolRow &row)
{
    std::string text = row.budget().ShortDebugString()
                       + " members=" + std::to_string(row.member_count()) + " granted=";
    for (const v1::Grant &grant : row.grants())
        text += grant.instance() + ",";
    text += " unhealthy=";
    for (const v1::UnavailableMember &member : row.unhealthy())
        text += member.instance() + ",";
    return text;
}

std::string describe(const v1::WaveRow &row)
{
    return v1::WaveState_Name(row.state()).substr(11) + " done=" + std::to_string(row.done())
           + " active=" + std::to_string(row.active_size()) + " held="
           + std::to_string(row.held_size()) + " skipped=" + std::to_string(row.skipped_count());
}

template <typename Row>
void compare(const std::string &what, const std::map<std::string, Row> &before,
             const std::map<std::string, Row> &after, std::vector<std::string> &lines)
{
    const auto add = [&](const std::string &name, const std::string &text) {
        std::string line = what;
        line.append(" ").append(name).append(": ").append(text);
        lines.push_back(std::move(line));
    };
    for (const auto &[name, row] : after) {
        const auto old = before.find(name);
        const std::string text = describe(row);
        if (old == before.end() || describe(old->second) != text)
            add(name, text);
    }
    for (const auto &[name, row] : before) {
        if (!after.contains(name))
            add(name, "removed");
    }
}

} // namespace

FleetWorld::FleetWorld(std::uint64_t seed)
    : rng_(seed)
    , platform_(std::make_shared<platform::MemoryPlatform>(
              platform::MemoryPlatformOptions{.clock = clock_,
                                              .seed = rng_(),
                                              .tableWritesPerSecond = 1e6,
                                              .tableReadsPerSecond = 1e6}))
    , table_(platform::MemoryAccess{platform_, "z0"})
    , list_(platform::MemoryAccess{platform_, "z0"})
    , control_(platform::MemoryAccess{platform_, "z0"})
{
    platform_->setCallHook(&SteppedThread::beforeCall);
    fleet::addFleetServices(router_, {table_, list_, control_, clock_});
}

twirp::HttpReply FleetWorld::call(const std::string &service, const std::string &method,
                                  const google::protobuf::Message &request) const
{
    return router_.handle({"/twirp/chicorywick.v1." + service + "/" + method,
                           "application/protobuf",
                           request.SerializeAsString(),
                           {method, "local", "operator"}});
}

int FleetWorld::setUp(const std::string &service, const std::string &method,
                      const google::protobuf::Message &request)
{
    return call(service, method, request).status;
}

void FleetWorld::createPool(const std::string &name, const v1::Budget &budget)
{
    v1::CreatePoolRequest request;
    request.set_request_id(newRequestId());
    request.set_name(name);
    *request.mutable_budget() = budget;
    setUp("FleetService", "CreatePool", request);
}

void FleetWorld::createWave(const std::string &id, const std::string &pool,
                            const std::vector<std::string> &instances)
{
    v1::CreateWaveRequest request;
    request.set_request_id(newRequestId());
    request.set_id(id);
    request.set_pool(pool);
    request.mutable_instances()->Assign(instances.begin(), instances.end());
    request.set_drain_deadline_ms(60'000);
    setUp("WaveService", "CreateWave", request);
}

void FleetWorld::addInstance(const std::string &id, const std::string &pool,
                             const std::string &zone, const std::string &rack)
{
    platform_->addInstance({.id = id,
                            .kind = platform::InstanceKind::Worker,
                            .address = "127.0.0.1:1",
                            .zone = zone,
                            .rack = rack,
                            .service = {},
                            .leaving = false,
                            .capacity = {}});
    if (pool.empty())
        return;
    v1::AddInstanceRequest request;
    request.set_request_id(newRequestId());
    request.set_id(id);
    request.set_pool(pool);
    request.set_zone(zone);
    request.set_rack(rack);
    setUp("FleetService", "AddInstance", request);
}

std::unique_ptr<SteppedThread> FleetWorld::makeDriver()
{
    const auto driver = std::make_shared<fleet::WaveDriver>(
            fleet::FleetRepository(table_), list_, control_,
            fleet::WaveDriverOptions{.minDrainTime = std::chrono::seconds(4),
                                     .verifyDeadline = std::chrono::minutes(2),
                                     .clock = clock_});
    return std::make_unique<SteppedThread>([this, driver] { driver->step(clock_.now()); });
}

std::unique_ptr<SteppedThread> FleetWorld::makeOperator(std::function<void()> activity)
{
    return std::make_unique<SteppedThread>(std::move(activity));
}

FleetRows FleetWorld::rows() const
{
    FleetRows rows;
    readRows(*platform_, "pool/", rows.pools, &rows.poolVersions);
    readRows(*platform_, "instance/", rows.instances, &rows.instanceVersions);
    readRows(*platform_, "wave/", rows.waves, nullptr);
    return rows;
}

platform::FaultPlan FleetWorld::drawFaults()
{
    platform::FaultPlan faults;
    if (rng_.chance(0.5)) {
        faults.table.loseRequest = rng_.uniform() * 0.1;
        faults.table.loseAnswer = rng_.uniform() * 0.2;
        faults.table.lateCommit = rng_.uniform() * 0.2;
    }
    if (rng_.chance(0.3)) {
        faults.control.loseRequest = rng_.uniform() * 0.2;
        faults.control.loseAnswer = rng_.uniform() * 0.3;
    }
    faults.table.down = rng_.chance(0.15);
    faults.control.down = rng_.chance(0.1);
    faults.list.down = rng_.chance(0.1);
    if (rng_.chance(0.2))
        faults.listLag = std::chrono::seconds(rng_.below(20));
    return faults;
}

void FleetWorld::note(const std::string &line)
{
    if (!trace_.empty() && trace_.back().ends_with(line))
        return;
    const auto start = base::TimePoint(std::chrono::hours(24 * 365));
    trace_.push_back("  " + std::to_string(base::toMillis(now()) - base::toMillis(start)) + " ms "
                     + line);
    if (trace_.size() > kTraceLines)
        trace_.pop_front();
}

std::string FleetWorld::trace() const
{
    std::ostringstream text;
    for (const std::string &line : trace_)
        text << line << '\n';
    return text.str();
}

std::vector<std::string> describeChanges(const FleetRows &before, const FleetRows &after)
{
    std::vector<std::string> lines;
    compare("instance", before.instances, after.instances, lines);
    compare("pool", before.pools, after.pools, lines);
    compare("wave", before.waves, after.waves, lines);
    return lines;
}

} // namespace chicorywick::prove
