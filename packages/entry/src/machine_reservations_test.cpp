#include <chicorywick/base/rng.h>
#include <chicorywick/entry/leader_election.h>

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

namespace {

constexpr scheduler::Millis kGapMs = 3'000;
constexpr int kDaemons = 4;
constexpr int kMachines = 12;

// The leader row, daemons whose clocks differ, and the orders that have arrived at machines.
// Daemons stop in order, are killed, freeze and are cut off from the store; writes are carried out
// without an answer, or not at all, and orders are on their way for a while.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : rng_(seed)
    {
        for (std::size_t i = 0; i < kDaemons; ++i)
            restart(i, 0);
    }

    void step(scheduler::Millis now)
    {
        deliver(now);
        for (std::size_t i = 0; i < kDaemons; ++i) {
            Daemon &daemon = daemons_[i];
            disturb(i, now);
            if (now < daemon.frozenUntil || now < daemon.startsAt)
                continue;
            act(i, now);
        }
    }

    int orders = 0;
    int ordersAtOnce = 0; ///< by a new leader, within a second of its claim
    scheduler::Millis shortestTurn = kGapMs;

private:
    struct Daemon
    {
        std::unique_ptr<LeaderElection> election;
        scheduler::Millis clockAhead = 0;
        scheduler::Millis startsAt = 0;
        scheduler::Millis frozenUntil = 0;
        scheduler::Millis cutUntil = 0;
        scheduler::Millis leadsSince = 0;
        bool isStopping = false;
    };
    struct Order
    {
        scheduler::Millis arrivesAt = 0;
        std::string machine;
        Version term = 0;
        std::size_t daemon = 0;
        LeaderElection *sender = nullptr;
    };

    bool chance(double share) { return rng_.chance(share); }
    scheduler::Millis upTo(std::uint64_t limit)
    {
        return static_cast<scheduler::Millis>(rng_.below(limit));
    }

    void restart(std::size_t i, scheduler::Millis now)
    {
        constexpr std::uint64_t kMaxJitterMs = 150;
        Daemon &daemon = daemons_[i];
        daemon = {.clockAhead = upTo(1'000'000), .startsAt = now + upTo(800)};
        daemon.election = std::make_unique<LeaderElection>(
                "d" + std::to_string(i) + "#" + std::to_string(++incarnations_), "p",
                upTo(kMaxJitterMs));
    }

    void disturb(std::size_t i, scheduler::Millis now)
    {
        Daemon &daemon = daemons_[i];
        if (chance(0.0008))
            restart(i, now);
        if (chance(0.0008))
            daemon.frozenUntil = now + upTo(6'000);
        if (chance(0.0008))
            daemon.cutUntil = now + upTo(5'000);
        if (chance(0.0015) && !daemon.isStopping) {
            daemon.isStopping = true;
            daemon.election->release();
        }
        if (daemon.isStopping && chance(0.02))
            restart(i, now);
    }

    void act(std::size_t i, scheduler::Millis now)
    {
        Daemon &daemon = daemons_[i];
        LeaderElection &election = *daemon.election;
        const scheduler::Millis own = now + daemon.clockAhead;
        const bool isCut = now < daemon.cutUntil;
        if (!isCut && chance(0.5))
            election.observe(version_, row_, own);
        if (const auto next = election.nextWrite(own))
            write(election, *next, own, isCut);
        if (!election.isLeading(own)) {
            daemon.leadsSince = 0;
            return;
        }
        if (daemon.leadsSince == 0)
            daemon.leadsSince = now;
        if (chance(0.3))
            election.reservations().request(randomMachine());
        order(i, now);
    }

    void write(LeaderElection &election, const LeaderWrite &write, scheduler::Millis own,
               bool isCut)
    {
        const bool isCarriedOut = write.expected == version_ && !isCut && !chance(0.05);
        if (isCarriedOut) {
            row_ = write.record;
            ++version_;
        }
        if (isCarriedOut && !chance(0.1))
            election.committed(write, version_, own);
        else
            election.writeFailed(write, own);
    }

    void order(std::size_t i, scheduler::Millis now)
    {
        Daemon &daemon = daemons_[i];
        const std::string machine = randomMachine();
        LeaderElection &election = *daemon.election;
        if (!election.machineOrderUntil(machine, now + daemon.clockAhead))
            return;
        election.reservations().recordSent(machine);
        underway_.push_back({.arrivesAt = now + upTo(100),
                             .machine = machine,
                             .term = election.term(),
                             .daemon = i,
                             .sender = &election});
        ++orders;
        if (now - daemon.leadsSince < 1'000)
            ++ordersAtOnce;
    }

    void deliver(scheduler::Millis now)
    {
        for (const Order &order : std::exchange(underway_, {})) {
            if (order.arrivesAt > now) {
                underway_.push_back(order);
                continue;
            }
            const auto last = last_.find(order.machine);
            if (last != last_.end() && last->second.second != order.term)
                shortestTurn = std::min(shortestTurn, order.arrivesAt - last->second.first);
            if (last == last_.end() || last->second.first <= order.arrivesAt)
                last_[order.machine] = {order.arrivesAt, order.term};
            // The answer is lost with the process, or arrives once it runs again.
            Daemon &daemon = daemons_[order.daemon];
            if (daemon.election.get() == order.sender)
                daemon.election->reservations().recordAnswer(order.machine, !chance(0.1),
                                                             std::max(now, daemon.frozenUntil)
                                                                     + daemon.clockAhead);
        }
    }

    std::string randomMachine() { return "m" + std::to_string(rng_.below(kMachines)); }

    base::Rng rng_;
    std::array<Daemon, kDaemons> daemons_;
    LeaderRecord row_;
    Version version_ = 0;
    std::vector<Order> underway_;
    std::map<std::string, std::pair<scheduler::Millis, Version>> last_; ///< by machine
    int incarnations_ = 0;
};

LeaderRecord rowOf(const ReservedMachines &reserved)
{
    return {.holder = "a#1", .peerAddress = "a:1", .term = 1, .reservedMachines = reserved};
}

} // namespace

// Guards against orders of two leaders for one machine within the time that the platform demands
// between them (ONE).
TEST_CASE("two leaders' orders for one machine are far enough apart through all changes of leaders")
{
    int ordersAtOnce = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        constexpr scheduler::Millis kEnd = 60'000;
        for (scheduler::Millis now = 1; now < kEnd; now += 20)
            fleet.step(now);
        CHECK(fleet.shortestTurn >= kGapMs);
        CHECK(fleet.orders > 100);
        ordersAtOnce += fleet.ordersAtOnce;
    }
    CHECK(ordersAtOnce > 1'000);
}

// Guards against a leader that leaves machines alone although no earlier one has ordered them.
TEST_CASE("only machines that an earlier leader has reserved are held")
{
    MachineReservations reservations;
    reservations.inherit({.waitMs = {{"m", 2'000}}}, 100);
    CHECK(reservations.heldUntil("m") == 2'100);
    CHECK(reservations.heldUntil("other") == 0);
    CHECK(reservations.toWrite(600) == ReservedMachines{.waitMs = {{"m", 1'500}}});
    CHECK(reservations.toWrite(2'100) == ReservedMachines{});
}

// Guards against a machine that stays reserved for long after its order was answered.
TEST_CASE("a reservation ends with the answer to the order")
{
    const ReservationSettings settings;
    MachineReservations reservations(settings);
    reservations.request("m");
    reservations.confirm({"m"}, 1'000);
    CHECK(reservations.orderUntil("m") == 1'000 + settings.orderMs);
    reservations.recordSent("m");
    reservations.recordAnswer("m", true, 1'010);
    CHECK(reservations.orderUntil("m") == 0);
    CHECK(reservations.toWrite(1'010).waitMs.at("m") == settings.gapMs + settings.marginMs);
    reservations.request("m");
    reservations.confirm({"m"}, 1'100);
    reservations.recordSent("m");
    reservations.recordAnswer("m", false, 1'200);
    CHECK(reservations.toWrite(1'200).waitMs.at("m") == settings.lateOrderMs + settings.marginMs);
}

// Guards against orders that are too close where the platform demands more time between them.
TEST_CASE("the time between two leaders' orders for one machine is a setting")
{
    constexpr scheduler::Millis kLongGapMs = 8'000;
    LeaderElection election("a#1", "a:1", 0, {.machineOrderGapMs = kLongGapMs});
    election.observe(0, {}, 0);
    election.committed(*election.nextWrite(0), 1, 0);
    election.reservations().request("m");
    election.committed(*election.nextWrite(10), 2, 10);
    election.release();
    CHECK(election.nextWrite(20)->record.reservedMachines->waitMs.at("m") >= kLongGapMs);
}

// Guards against two leaders at one machine while the daemons are upgraded one after the other.
TEST_CASE("after a leader of a version without reservations all machines are held")
{
    LeaderElection election("b#1", "b:1", 0);
    LeaderRecord released = rowOf({});
    released.holder.clear();
    released.reservedMachines.reset();
    election.observe(7, released, 100);
    const auto claim = election.nextWrite(300);
    REQUIRE(claim);
    CHECK(claim->record.reservedMachines->waitOfAllMs >= kGapMs - 200);
    election.committed(*claim, 8, 310);
    CHECK(election.reservations().heldUntil("any") >= 100 + kGapMs);
    CHECK(election.machineOrderHold(310)->machines == 0);
}

} // namespace chicorywick::entry
