#pragma once

#include "chicorywick/v1/job_service.pb.h"
#include "evidence/prove/cooperative_scheduler.h"

#include <chicorywick/jobs/job_driver.h>
#include <chicorywick/jobs/job_services.h>
#include <chicorywick/platform/memory_platform.h>

#include <map>
#include <optional>
#include <set>

namespace chicorywick::prove {

/// @brief The specification and the actual behaviour of a job.
struct JobPlan
{
    v1::JobSpec spec;
    base::Duration runTime{};
    bool succeeds = true;
    std::uint32_t memoryMib = 0;
};

/// @brief The outcome of the calls that submit or cancel a job.
struct SubmissionState
{
    bool wasAccepted = false;
    bool mayBeAccepted = false;
    bool cancelRequested = false;
};

/// @brief One start of a job as received by a worker. A fresh start has no checkpoint.
struct ObservedStart
{
    std::uint64_t fence = 0;
    bool isFresh = true;
};

/// @brief Two drivers and two operators on one pool and a faulty platform, in virtual time.
class JobsOnceSimulation
{
public:
    explicit JobsOnceSimulation(std::uint64_t seed);

    /// @brief Returns the first violation with a trace, or an empty string.
    std::string run();

private:
    struct Schedule
    {
        base::TimePoint wakeAt;
        std::string call;
        bool isDriver = false;
    };

    // jobs_once_simulation.cpp: the system under test and its faults.
    void addWorkers();
    void makePlans();
    void addDriver(base::Duration skew);
    void addOperator();
    void runDriver(std::size_t actor, const base::Clock &clock);
    void runOperator(std::size_t actor);
    void submitNext(twirp::Router &router, std::size_t actor);
    void cancelRandomJobs(twirp::Router &router);
    void releaseRandomWorker(twirp::Router &router);
    int call(twirp::Router &router, const std::string &method,
             const google::protobuf::Message &request, std::string &body);
    jobs::CallHook hookOf(std::size_t actor);
    void sleepActor(std::size_t actor, base::Duration duration, const char *why);
    void advance(base::Duration by);
    void changeFaults();
    void endOutage();
    void heal();
    void runNextActor();

    // jobs_once_checks.cpp: the invariants.
    std::string checkRows();
    std::string checkEnd();
    std::string checkRuns(const std::string &key, const jobs::Job &job) const;
    std::string traceOf(const std::string &key) const;
    bool isAllFinished();
    std::map<std::string, jobs::Job> readJobs();

    base::Rng rng_;
    jobs::LeaseTimes lease_;
    std::vector<std::shared_ptr<base::ManualTime>> clocks_;
    std::shared_ptr<base::ManualTime> time_ = std::make_shared<base::ManualTime>();
    std::shared_ptr<platform::MemoryPlatform> platform_;
    platform::MemoryAccess access_;
    std::set<std::string> badWorkers_;
    std::map<std::string, JobPlan> plans_;
    std::vector<std::string> order_;
    std::size_t submitted_ = 0;
    std::map<std::string, SubmissionState> submissions_;
    std::map<std::string, std::vector<ObservedStart>> starts_;
    std::map<std::string, jobs::Job> terminal_;
    std::map<std::string, std::vector<std::string>> rowHistory_;
    std::vector<Schedule> schedules_;
    std::optional<base::TimePoint> outageEnd_;
    bool isHealed_ = false;
    std::uint64_t requests_ = 0;
    CooperativeScheduler scheduler_;
};

} // namespace chicorywick::prove
