#pragma once

#include "account_table.h"
#include "controller_answer.h"
#include "job_admission.h"

#include <chicorywick/base/token_bucket.h>
#include <chicorywick/entry/caller_codec.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/route_table.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace chicorywick::entry {

/// @brief How the intake reaches the controllers of the cells, here or on their leaders.
struct ControllerQuery
{
    std::function<void(int cell, const std::string &id, std::function<void(ControllerAnswer)>)>
            state;
    /// Waiting jobs of a queue in all cells; none if a cell has never reported its number.
    std::function<std::optional<int>(const std::string &queue)> waiting;
    /// Time until a job of the queue that is submitted to the cell now can start; 0 if unknown.
    std::function<scheduler::Millis(int cell, const std::string &queue)> backlogMs;
    /// Memory of the jobs of a cell.
    std::function<scheduler::JobMemory(int cell)> jobMemory;
    /// Sends a stored row of a jobs table to the controller, which also reads it from the store.
    std::function<void(int cell, const Row &row)> announce;
};

/// @brief Serves callers: stores submissions and cancellations, returns states.
class Intake : public std::enable_shared_from_this<Intake>
{
public:
    Intake(boost::asio::io_context &loop, Table &table, const CallerCodec &codec,
           ControllerQuery controller, std::function<scheduler::Now()> clock,
           std::int64_t maxJobBytes);

    void configure(const Configuration &configuration);

    /// @brief Sets whether the configuration is known to be recent enough that a queue or API key
    /// which it lacks does not exist. Without it, that is always so.
    void setConfigurationCheck(std::function<bool()> isRecent)
    {
        isConfigurationRecent_ = std::move(isRecent);
    }

    /// @brief Sets the cells. Until then no job is accepted, because its owner is not known.
    void setLayout(const CellLayout &layout) { layout_ = layout; }
    void handle(const http::Request &request, http::Responder respond);

private:
    struct Submission;
    struct Refusal;

    void submit(const RouteMatch &route, const scheduler::AccountPolicy *account,
                const http::Request &request, http::Responder respond);
    std::optional<Refusal> reasonToRefuse(const scheduler::JobSpec &spec,
                                          const scheduler::QueuePolicy &policy);
    void refuseUnlessStored(const std::shared_ptr<Submission> &submission, const Refusal &refused);
    void store(const std::shared_ptr<Submission> &submission);
    void retryAfter(const std::shared_ptr<Submission> &submission, std::chrono::milliseconds pause);
    void handleStored(const std::shared_ptr<Submission> &submission,
                      const base::Result<TransactionResult> &result);
    void respondState(const std::string &id, const http::Responder &respond);
    void readState(const std::string &id, const http::Responder &respond);
    void cancel(const std::string &id, const scheduler::AccountPolicy *account,
                const http::Responder &respond);
    void readForCancellation(const std::string &id, const std::string &account,
                             const http::Responder &respond);
    void storeCancellation(const std::string &id, bool isJobStored, int attempts,
                           const http::Responder &respond);
    void ifJobExists(const std::string &id, const http::Responder &respond,
                     const std::function<void()> &exists);
    void respondWaiting(const std::string &queue, const http::Responder &respond);
    http::Response stateResponse(scheduler::JobState state) const;
    bool mayConfigurationBeOld() const;
    CellRows rowsOf(const std::string &id) const;
    void returnLookup(double reads, base::Code failure = base::Code::PlatformUnavailable);
    base::TimePoint now() const;
    void announce(const std::string &id, const Row &row);

    boost::asio::io_context &loop_;
    Table &table_;
    const CallerCodec &codec_;
    ControllerQuery controller_;
    std::function<scheduler::Now()> clock_;
    RouteTable routes_;
    AccountTable accounts_;
    std::optional<CellLayout> layout_;
    bool isConfigured_ = false;
    std::function<bool()> isConfigurationRecent_;
    JobAdmission admission_;
    scheduler::Millis answerMs_ = 0;  ///< time to the latest answer to a write of a job
    base::TokenBucket lookups_;       ///< reads of the store for jobs that may not exist
    base::TokenBucket refusalReads_;  ///< reads of the store before a submission is refused
    base::TokenBucket cancellations_; ///< stored for jobs that are not stored
};

} // namespace chicorywick::entry
