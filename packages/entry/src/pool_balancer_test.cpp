#include "pool_balancer.h"
#include "silent_workers.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

constexpr scheduler::Resources kMachineSize{.cpuMillis = 16'000, .memoryMib = 32'768};
constexpr int kSpareMachines = 10;

// Lists spare machines and records which of them move.
class SpareMachines : public MachinePort
{
public:
    void list(Callback<std::vector<Machine>> done) override
    {
        std::vector<Machine> machines;
        for (int i = 0; i < kSpareMachines; ++i)
            machines.push_back({.name = "spare" + std::to_string(i),
                                .pool = "off",
                                .state = MachineState::Up,
                                .rack = "r"});
        done(machines);
    }
    void move(const std::string & /*machine*/, const std::string & /*pool*/, std::int64_t /*fence*/,
              scheduler::OrderValidity /*validity*/,
              std::function<void(MachineOrderStatus)> done) override
    {
        ++moves;
        done(MachineOrderStatus::Accepted);
    }
    void maintain(const std::string & /*machine*/, std::int64_t /*wave*/, std::int64_t /*fence*/,
                  scheduler::OrderValidity /*validity*/,
                  std::function<void(MachineOrderStatus)> /*done*/) override
    {}

    int moves = 0;
};

} // namespace

// Guards against a pool plan that takes a shrunk worker, or one that is known only from a stored
// roster, for the size of a machine: with a size of 0 a pool got no machine for its waiting work.
TEST_CASE("a pool gets machines for its work while a worker of it has shrunk")
{
    const auto clock = [] { return scheduler::Now{.steady = 1'000, .wall = 1'000}; };
    SilentWorkers workers;
    scheduler::Scheduler scheduler(workers, {.clock = clock, .maySendOrders = [] { return true; }},
                                   {.fence = 1});
    const scheduler::QueuePolicy policy{.name = "q", .service = "s"};
    scheduler.setQueues({policy});
    scheduler::WorkerEntry entry{.id = "w0",
                                 .service = "s",
                                 .address = "10.0.0.1:80",
                                 .machine = "m0",
                                 .capacity = kMachineSize};
    scheduler.upsertWorker(entry);
    entry.id = "w1";
    entry.machine = "m1";
    scheduler.upsertWorker(entry);
    entry.capacity = {};
    scheduler.upsertWorker(entry);
    scheduler.addJob({.id = "a",
                      .queue = "q",
                      .steps = {{.taskCount = 4, .demand = kMachineSize, .estimatedMs = 500}},
                      .submittedWall = 1'000},
                     std::nullopt);
    SpareMachines machines;
    MachineInventory inventory(machines, clock, {});
    const auto balancer = std::make_shared<PoolBalancer>(
            machines,
            ControllerHooks{.clock = clock,
                            .maySendMachineOrders = [] { return true; },
                            .machineOrderValidity = [] { return scheduler::OrderValidity(); }},
            scheduler, inventory, 1);
    balancer->configure({.routes = {{.policy = policy}}, .services = {{"off", {.isSpare = true}}}});
    balancer->tick();
    // Four whole machines of work at a packing share of 0.85 need five machines.
    CHECK(machines.moves == 5);
}

} // namespace chicorywick::entry
