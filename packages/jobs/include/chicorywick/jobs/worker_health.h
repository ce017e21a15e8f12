#pragma once

#include <chicorywick/jobs/job.h>

#include <deque>
#include <map>
#include <set>

namespace chicorywick::jobs {

/// @brief Evidence that tells a worker that fails every task from a job that can never run.
///
/// A failure counts against its worker by as much as jobs of that kind succeed on other workers,
/// and against its job only if the worker succeeds with other jobs. Memory is bounded.
class WorkerHealth
{
public:
    void recordSuccess(const std::string &worker, const std::string &kind, base::TimePoint now);
    void recordFailure(const std::string &worker, const std::string &kind, const std::string &job,
                       base::TimePoint now);

    /// @brief Whether the worker failed several distinct jobs that are likely to run elsewhere.
    bool isSuspect(const std::string &worker) const;
    std::vector<std::string> suspects() const;
    /// @brief The jobs that failed on the worker since its last success.
    std::vector<std::string> failedJobs(const std::string &worker) const;
    /// @brief Forgets the failures of a worker that an operator released.
    void forget(const std::string &worker);

    /// @brief Whether a job that failed on these workers and now on one more fails on any worker.
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

    /// Workers on which jobs of a kind succeeded or failed lately.
    struct KindRecord
    {
        std::map<std::string, base::TimePoint> succeeded;
        std::map<std::string, base::TimePoint> failed;
        base::TimePoint changedAt{};
    };

    double successShare(const std::string &kind, const std::string &exceptWorker) const;
    Record &touchWorker(const std::string &worker, base::TimePoint now);
    KindRecord &touchKind(const std::string &kind, base::TimePoint now);

    std::map<std::string, Record> workers_;
    std::map<std::string, KindRecord> kinds_;
};

} // namespace chicorywick::jobs
