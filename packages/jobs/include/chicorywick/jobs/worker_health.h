#pragma once

#include <chicorywick/jobs/job.h>

#include <deque>
#include <map>
#include <set>

namespace chicorywick::jobs {

/// @brief Failure statistics that distinguish a faulty worker from a job that fails everywhere.
///
/// A failure is weighted against its worker by the success rate of its job kind on other workers.
/// It counts against its job only if the worker completes other jobs. Memory is bounded.
class WorkerHealth
{
public:
    void recordSuccess(const std::string &worker, const std::string &kind, base::TimePoint now);
    void recordFailure(const std::string &worker, const std::string &kind, const std::string &job,
                       base::TimePoint now);

    /// @brief Whether several distinct jobs failed on the worker that are likely to succeed
    /// elsewhere.
    bool isSuspect(const std::string &worker) const;
    std::vector<std::string> suspects() const;
    /// @brief The jobs that failed on the worker since its last success.
    std::vector<std::string> failedJobs(const std::string &worker) const;
    /// @brief Clears the failures of a worker that an operator released.
    void clearFailures(const std::string &worker);

    /// @brief Whether a job that failed on these workers and now on one more is likely to fail on
    /// any worker.
    bool cannotRun(const std::vector<std::string> &failedWorkers, const std::string &worker,
                   base::TimePoint now) const;

private:
    struct Failure
    {
        std::string job;
        std::string kind;
        base::TimePoint at;
    };

    struct Record
    {
        std::deque<Failure> failures;
        base::TimePoint succeededAt{};
        base::TimePoint changedAt{};
    };

    /// Workers on which jobs of a kind recently succeeded or failed, with the time of the latest.
    struct KindRecord
    {
        std::map<std::string, base::TimePoint> succeeded;
        std::map<std::string, base::TimePoint> failed;
        base::TimePoint changedAt{};
    };

    double successRate(const std::string &kind, const std::string &exceptWorker) const;
    Record &touchWorker(const std::string &worker, base::TimePoint now);
    KindRecord &touchKind(const std::string &kind, base::TimePoint now);

    std::map<std::string, Record> workers_;
    std::map<std::string, KindRecord> kinds_;
};

} // namespace chicorywick::jobs
