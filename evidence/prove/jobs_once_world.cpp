#include "evidence/prove/jobs_once_world.h"

#include <algorithm>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

constexpr int kWorkers = 8;
constexpr int kBadWorkers = 2;
constexpr int kJobs = 40;
constexpr base::Duration kFaultyTime = 12min;
constexpr base::Duration kHealingTime = 90min;

// Pauses between the check of a lease and the arrival of the call stay below
// LeaseTimes::maxSendDelay, which is the assumption that the design states. All others are
// unbounded in comparison with the leases.
constexpr base::Duration kMaxSendPause = 28s;
constexpr base::Duration kMaxPause = 8min;
constexpr double kPause = 0.004;
constexpr double kCrash = 0.0008;
constexpr double kFaultChange = 0.01;
// Clock differences below LeaseTimes::maxClockSkew.
constexpr base::Duration kSkew = 900ms;

/// Ends a driver in the middle of a step, as a killed process does.
struct Crash
{};

base::Duration upTo(base::Rng &rng, base::Duration limit)
{
    return base::Duration(1 + rng.below(static_cast<std::uint64_t>(limit.count())));
}

} // namespace

JobsOnceWorld::JobsOnceWorld(std::uint64_t seed)
    : rng_(seed)
    , platform_(std::make_shared<platform::MemoryPlatform>(
              platform::MemoryPlatformOptions{.clock = base::Clock(time_), .seed = rng_()}))
    , access_{platform_, "z1"}
{
    // Shorter horizons make lapsed leases frequent; the longer ones are the defaults.
    if (rng_.chance(0.7))
        lease_ = {.workerLease = 20s,
                  .maxSendDelay = 30s,
                  .maxClockSkew = 2s,
                  .minRowLease = 85s,
                  .maxRowLease = 130s};
    addWorkers();
    makePlans();
    platform_->setTaskBehaviour([this](const platform::TaskStart &start) {
        const JobPlan &plan = plans_.at(start.task);
        starts_[start.task].push_back({start.fence, start.checkpoint.empty()});
        const base::Duration runTime = start.checkpoint.empty() ? plan.runTime : plan.runTime / 2;
        return platform::TaskBehaviour{.runTime = runTime,
                                       .succeeds =
                                               plan.succeeds && !badWorkers_.contains(start.worker),
                                       .cpuMillis = start.resources.cpuMillis,
                                       .memoryMib = plan.memoryMib};
    });
    addDriver(kSkew);
    addDriver(-kSkew);
    addOperator();
    addOperator();
}

void JobsOnceWorld::addWorkers()
{
    for (int i = 0; i < kWorkers; ++i) {
        const std::string id = "w" + std::to_string(i);
        platform_->addInstance({.id = id,
                                .kind = platform::InstanceKind::Worker,
                                .address = "10.0.0.1:1",
                                .zone = "z" + std::to_string(i % 3 + 1),
                                .rack = "r" + std::to_string(i / 4),
                                .service = "",
                                .capacity = {8000, 8192, 2}});
        if (i < kBadWorkers)
            badWorkers_.insert(id);
    }
}

void JobsOnceWorld::makePlans()
{
    for (int i = 0; i < kJobs; ++i) {
        JobPlan plan;
        v1::JobSpec &spec = plan.spec;
        spec.set_pool("p");
        spec.set_id("j" + std::to_string(i));
        spec.set_team("t" + std::to_string(i % 3));
        spec.set_kind("k" + std::to_string(i % 4));
        spec.set_job_class(static_cast<v1::JobClass>(rng_.below(3)));
        spec.mutable_resources()->set_cpu_millis(
                static_cast<std::uint32_t>(500 + rng_.below(5000)));
        spec.mutable_resources()->set_memory_mib(
                static_cast<std::uint32_t>(256 + rng_.below(4000)));
        spec.mutable_resources()->set_accelerators(rng_.chance(0.1) ? 1 : 0);
        spec.set_idempotent(rng_.chance(0.5));
        spec.set_checkpointable(rng_.chance(0.3));
        spec.set_payload(rng_.chance(0.1) ? std::string(20'000, 'p') : "small");
        plan.runTime = rng_.chance(0.5) ? upTo(rng_, 6min) : upTo(rng_, 20s);
        plan.succeeds = !rng_.chance(0.1);
        plan.memoryMib = static_cast<std::uint32_t>(spec.resources().memory_mib()
                                                    * (0.2 + 1.5 * rng_.uniform()));
        const std::string key = jobs::jobKey("p", spec.id());
        order_.push_back(key);
        plans_.emplace(key, std::move(plan));
    }
}

void JobsOnceWorld::addDriver(base::Duration skew)
{
    const auto clock = std::make_shared<base::ManualTime>(time_->now() + skew);
    clocks_.push_back(clock);
    const std::size_t actor = schedules_.size();
    schedules_.push_back({.wakeAt = time_->now(), .call = "begin", .isDriver = true});
    turns_.add([this, actor, clock] { drive(actor, base::Clock(clock)); });
}

void JobsOnceWorld::addOperator()
{
    const std::size_t actor = schedules_.size();
    schedules_.push_back({.wakeAt = time_->now(), .call = "begin", .isDriver = false});
    turns_.add([this, actor] { operate(actor); });
}

void JobsOnceWorld::drive(std::size_t actor, const base::Clock &clock)
{
    while (true) {
        jobs::JobDriver driver({platform::Table(access_), platform::ObjectStore(access_),
                                platform::InstanceList(access_), platform::Workers(access_)},
                               {.clock = clock,
                                .lease = lease_,
                                .defaultPool = "p",
                                .finishedRetention = 24h,
                                .seed = rng_(),
                                .beforeCall = hookOf(actor)});
        driver.setPools({"p"});
        driver.setQuotas({{.team = "t0", .cpuMillis = 12000, .weight = 2}});
        try {
            while (true) {
                driver.step(clock.now());
                sleepActor(actor, upTo(rng_, isHealed_ ? 4s : 2s), "sleep");
            }
        } catch (const Crash &) {
            sleepActor(actor, upTo(rng_, 30s), "restart");
        }
    }
}

jobs::CallHook JobsOnceWorld::hookOf(std::size_t actor)
{
    return [this, actor](const char *call) {
        const std::string name = call;
        const bool givesLease = name == "Workers.start" || name == "Workers.renew";
        base::Duration pause = upTo(rng_, 20ms);
        if (!isHealed_ && rng_.chance(givesLease ? kPause * 10 : kPause))
            pause = upTo(rng_, givesLease ? kMaxSendPause : kMaxPause);
        sleepActor(actor, pause, call);
        if (!isHealed_ && schedules_[actor].isDriver && rng_.chance(kCrash))
            throw Crash{};
    };
}

void JobsOnceWorld::sleepActor(std::size_t actor, base::Duration duration, const char *why)
{
    schedules_[actor].wakeAt = time_->now() + duration;
    schedules_[actor].call = why;
    turns_.pause(actor);
}

void JobsOnceWorld::operate(std::size_t actor)
{
    twirp::Router router;
    const jobs::JobRepository repository{platform::Table(access_), platform::ObjectStore(access_),
                                         hookOf(actor)};
    jobs::addJobServices(router, {repository, base::Clock(time_), nullptr});
    while (true) {
        if (submitted_ < order_.size())
            submitNext(router, actor);
        else if (!isHealed_ && rng_.chance(0.2))
            releaseWorkers(router);
        if (!isHealed_ && rng_.chance(0.3))
            cancelSome(router);
        sleepActor(actor, upTo(rng_, 25s), "sleep");
    }
}

int JobsOnceWorld::call(twirp::Router &router, const std::string &method,
                        const google::protobuf::Message &request, std::string &body)
{
    const auto reply = router.handle({.path = "/twirp/chicorywick.v1.JobService/" + method,
                                      .contentType = "application/protobuf",
                                      .body = request.SerializeAsString(),
                                      .context = {}});
    body = reply.body;
    return reply.status;
}

// A submitter repeats its call with the same request id until it gets a definite answer.
void JobsOnceWorld::submitNext(twirp::Router &router, std::size_t actor)
{
    const std::string key = order_[submitted_++];
    v1::SubmitJobRequest request;
    request.set_request_id("submit-" + std::to_string(++requests_));
    *request.mutable_spec() = plans_.at(key).spec;
    const int tries = 1 + static_cast<int>(rng_.below(4));
    for (int i = 0; i < tries; ++i) {
        std::string body;
        JobAnswers &answers = answers_[key];
        const int status = call(router, "SubmitJob", request, body);
        if (status == 200) {
            answers.wasAccepted = true;
            return;
        }
        const bool isRefusal = body.find("6001") != std::string::npos;
        answers.mayBeAccepted = answers.mayBeAccepted || !isRefusal;
        sleepActor(actor, upTo(rng_, 5s), "retry");
    }
}

void JobsOnceWorld::cancelSome(twirp::Router &router)
{
    v1::CancelJobsRequest request;
    request.set_request_id("cancel-" + std::to_string(++requests_));
    request.set_pool("p");
    const std::size_t count = 1 + rng_.below(rng_.chance(0.2) ? 10 : 2);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &key = order_[rng_.below(order_.size())];
        answers_[key].cancelAsked = true;
        request.add_ids(plans_.at(key).spec.id());
    }
    std::string body;
    if (count > 1 || rng_.chance(0.5)) {
        call(router, "CancelJobs", request, body);
        return;
    }
    v1::JobRequest single;
    single.set_request_id(request.request_id());
    single.set_pool("p");
    single.set_id(request.ids(0));
    call(router, "CancelJob", single, body);
}

void JobsOnceWorld::releaseWorkers(twirp::Router &router)
{
    v1::WorkerRequest request;
    request.set_request_id("release-" + std::to_string(++requests_));
    request.set_id("w" + std::to_string(rng_.below(kWorkers)));
    std::string body;
    call(router, "ReleaseWorker", request, body);
}

void JobsOnceWorld::advance(base::Duration by)
{
    time_->advance(by);
    for (const auto &clock : clocks_)
        clock->advance(by);
}

void JobsOnceWorld::changeFaults()
{
    const std::string worker = "w" + std::to_string(rng_.below(kWorkers));
    platform::FaultPlan faults = platform_->faults();
    const auto losses = [&](platform::ServiceFaults &service) {
        service = {};
        service.down = rng_.chance(0.3);
        if (rng_.chance(0.6))
            service.loseRequest = service.loseAnswer = service.lateCommit = 0.15 * rng_.uniform();
    };
    switch (rng_.below(11)) {
    case 0:
        losses(faults.table);
        break;
    case 1:
        losses(faults.workers);
        break;
    case 2:
        losses(faults.objects);
        losses(faults.list);
        break;
    case 3:
    case 9:
        platform_->setWorkerPartitioned(worker, true);
        break;
    case 10:
        // Leases run out while the table is down; then the workers are cut off as it returns.
        faults.table = {.down = true};
        outageEnd_ = time_->now() + 60s + upTo(rng_, 3min);
        break;
    case 4:
        platform_->setWorkerPartitioned(worker, false);
        break;
    case 5:
        platform_->failInstance(worker);
        break;
    case 6:
        platform_->restoreInstance(worker);
        break;
    case 7:
        static_cast<void>(platform_->commandInstance("z1", "Drain", worker, 1));
        break;
    default:
        static_cast<void>(platform_->commandInstance("z1", "Reboot", worker, 1 + rng_.below(9)));
        break;
    }
    platform_->setFaults(faults);
}

void JobsOnceWorld::endOutage()
{
    outageEnd_.reset();
    platform::FaultPlan faults = platform_->faults();
    faults.table = {};
    platform_->setFaults(faults);
    for (int i = 0; i < kWorkers; ++i)
        platform_->setWorkerPartitioned("w" + std::to_string(i), rng_.chance(0.5));
}

void JobsOnceWorld::heal()
{
    isHealed_ = true;
    platform_->setFaults({});
    for (int i = 0; i < kWorkers; ++i) {
        const std::string worker = "w" + std::to_string(i);
        platform_->setWorkerPartitioned(worker, false);
        platform_->restoreInstance(worker);
    }
}

void JobsOnceWorld::turn()
{
    const auto next = std::min_element(
            schedules_.begin(), schedules_.end(),
            [](const Schedule &left, const Schedule &right) { return left.wakeAt < right.wakeAt; });
    const base::TimePoint now = time_->now();
    // At least a microsecond passes between any two calls, so that the order of events shows in
    // their times.
    advance(std::max(base::Duration(1), next->wakeAt - now));
    turns_.giveTurn(static_cast<std::size_t>(next - schedules_.begin()));
}

std::string JobsOnceWorld::run()
{
    constexpr int kTurnsPerCheck = 40;
    const base::TimePoint faultyUntil = time_->now() + kFaultyTime;
    for (int i = 0; time_->now() < faultyUntil; ++i) {
        turn();
        if (outageEnd_ && time_->now() >= *outageEnd_)
            endOutage();
        // An outage lasts its time, whatever else would happen to the table.
        if (!outageEnd_ && rng_.chance(kFaultChange))
            changeFaults();
        if (i % kTurnsPerCheck != 0)
            continue;
        if (std::string violation = checkRows(); !violation.empty())
            return violation;
    }
    heal();
    const base::TimePoint healedUntil = time_->now() + kHealingTime;
    for (int i = 0; time_->now() < healedUntil; ++i) {
        turn();
        if (i % kTurnsPerCheck != 0)
            continue;
        if (std::string violation = checkRows(); !violation.empty())
            return violation;
        if (isAllFinished())
            break;
    }
    return checkEnd();
}

} // namespace chicorywick::prove
