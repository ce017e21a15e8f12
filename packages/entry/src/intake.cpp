#include "intake.h"

#include "submission_rules.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;

// The store usually answers within a few milliseconds, and a slow store within 250 ms.
constexpr auto kStoreTimeout = 600ms;
constexpr auto kRetryPause = 60ms;
// A second attempt is sent in parallel after this time; the usual answer takes about 10 ms.
constexpr auto kHedgeDelay = 500ms;
constexpr std::chrono::milliseconds kMinTimeout = 100ms;
// Well above the latency of a store that is fifty times slower than usual.
constexpr std::chrono::milliseconds kMaxTimeout = 1'200ms;
// Attempts per submission or cancellation before the caller receives an error.
constexpr int kMaxAttempts = 3;
// Reserved for sending the response before the caller times out.
constexpr scheduler::Millis kResponseMarginMs = 300;
constexpr scheduler::Millis kDefaultTimeLimitMs = 3'000;
constexpr scheduler::Millis kMaxTimeLimitMs = 3'600'000;
// Short, because another entry instance may accept the request immediately.
constexpr const char *kRetryAfterSeconds = "1";
constexpr scheduler::Millis kMaxRetryAfterSeconds = 10;
// Room becomes free as jobs end.
constexpr scheduler::Millis kRoomRetryMs = 5'000;
// All instances share the calls of the store, some of which must be left for jobs that exist. A
// state takes two reads, a cancellation a read and a write whose row stays for minutes.
constexpr base::TokenBucketLimits kLookups{.tokensPerSecond = 50, .burst = 200};
constexpr base::TokenBucketLimits kRefusalReads{.tokensPerSecond = 100, .burst = 400};
constexpr base::TokenBucketLimits kUnknownCancellations{.tokensPerSecond = 20, .burst = 100};
constexpr double kReadsOfState = 2;
constexpr std::size_t kMaxIdLength = 64;
constexpr const char *kCancelValue = "{}";

bool isJobId(const std::string &text)
{
    return !text.empty() && text.size() <= kMaxIdLength
           && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
                  return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
              });
}

http::Response refusal(int status, base::Code code)
{
    http::Response response{.status = status};
    response.headers["X-Result-Code"] = std::to_string(static_cast<int>(code));
    if (status == kUnavailable)
        response.headers["Retry-After"] = kRetryAfterSeconds;
    return response;
}

int statusOf(base::Code code)
{
    return code == base::Code::InputTooLarge ? kPayloadTooLarge : kBadRequest;
}

// The request would take calls of the store that jobs which exist need.
http::Response refuseUnknownJob(const std::string &id)
{
    constexpr base::Code kCode = base::Code::RateLimited;
    base::logEvent(base::Event::RequestRefused,
                   {{"job", id}, {"code", std::to_string(static_cast<int>(kCode))}});
    return refusal(kUnavailable, kCode);
}

// What the configuration lacks may have been added, and other instances may know it.
http::Response refuseForOldConfiguration(const char *reason)
{
    constexpr base::Code kCode = base::Code::ConfigStale;
    base::logEvent(base::Event::RequestRefused,
                   {{"reason", reason}, {"code", std::to_string(static_cast<int>(kCode))}});
    return refusal(kUnavailable, kCode);
}

http::Response refuseKey(const RouteMatch &route, base::Code code)
{
    base::logEvent(base::Event::ApiKeyRefused, {{"queue", route.policy.name},
                                                {"code", std::to_string(static_cast<int>(code))}});
    return refusal(code == base::Code::OtherAccount ? kForbidden : kUnauthorized, code);
}

http::Response json(int status, std::string body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
}

// The row of an ended job does not tell its account; its cancellation has no effect.
bool belongsToOther(const RowPage &jobRows, const std::string &account)
{
    return std::any_of(jobRows.rows.begin(), jobRows.rows.end(), [&account](const Row &row) {
        const auto job = decodeJob(row.value);
        return job && !job.value().account.empty() && job.value().account != account;
    });
}

bool isUnknown(const base::Error &error)
{
    return error.code == base::Code::PlatformUnknownOutcome;
}

} // namespace

// Without the decoded job, which would take memory while the store is slow.
struct Intake::Submission
{
    std::string id;
    std::string queue;
    std::string value;
    http::Responder respond;
    scheduler::Millis receivedAt = 0;
    scheduler::Millis answerBy = 0;
    int attempts = 0;
    int outstanding = 0;
    bool isAnswered = false;
    bool mayBeStored = false; ///< an attempt with an unknown outcome may have stored the job
};

// Why a submission is not accepted now, and when it may be.
struct Intake::Refusal
{
    base::Code code = base::Code::JobNotAccepted;
    const char *reason = "";
    scheduler::Millis retryAfterMs = 0;
};

Intake::Intake(boost::asio::io_context &loop, Table &table, const CallerCodec &codec,
               ControllerQuery controller, std::function<scheduler::Now()> clock,
               std::int64_t maxJobBytes)
    : loop_(loop)
    , table_(table)
    , codec_(codec)
    , controller_(std::move(controller))
    , clock_(std::move(clock))
    , admission_(maxJobBytes)
    , lookups_(kLookups)
    , refusalReads_(kRefusalReads)
    , cancellations_(kUnknownCancellations)
{}

void Intake::configure(const Configuration &configuration)
{
    routes_ = RouteTable(configuration.routes);
    accounts_ = AccountTable(configuration.accounts);
    isConfigured_ = true;
}

bool Intake::mayConfigurationBeOld() const
{
    return isConfigurationRecent_ && !isConfigurationRecent_();
}

void Intake::handle(const http::Request &request, http::Responder respond)
{
    if (!isConfigured_ || !layout_)
        return respond(refusal(kUnavailable, base::Code::ConfigStale));
    const auto route = routes_.match(http::headerOf(request.headers, "host"), request.target);
    if (!route) {
        if (mayConfigurationBeOld())
            return respond(refuseForOldConfiguration("unknown queue"));
        return respond(refusal(kNotFound, base::Code::UnknownService));
    }
    const auto account = accounts_.identify(codec_.apiKey(request.headers), route->allowsAnonymous);
    if (!account) {
        if (mayConfigurationBeOld())
            return respond(refuseForOldConfiguration("unknown key"));
        return respond(refuseKey(*route, account.error().code));
    }
    if (route->rest.empty()) {
        if (request.method != "GET")
            return respond(refusal(kMethodNotAllowed, base::Code::UnknownMethod));
        return respondWaiting(route->policy.name, respond);
    }
    if (!isJobId(route->rest))
        return respond(refusal(kBadRequest, base::Code::InvalidArgument));
    if (request.method == "POST")
        return submit(*route, account.value(), request, std::move(respond));
    if (request.method == "GET")
        return respondState(route->rest, respond);
    if (request.method == "DELETE")
        return cancel(route->rest, account.value(), respond);
    respond(refusal(kMethodNotAllowed, base::Code::UnknownMethod));
}

void Intake::submit(const RouteMatch &route, const scheduler::AccountPolicy *account,
                    const http::Request &request, http::Responder respond)
{
    auto decoded = codec_.decodeSubmission(request.body);
    base::Result<void> checked = base::ok();
    if (decoded)
        checked = validateSubmission(decoded.value());
    if (decoded && checked && account != nullptr)
        checked = checkTaskSizes(decoded.value(), *account);
    const scheduler::Now received = clock_();
    std::string value;
    if (decoded && checked) {
        scheduler::JobSpec &spec = decoded.value();
        spec.id = route.rest;
        spec.queue = route.policy.name;
        spec.account = account != nullptr ? account->name : std::string();
        spec.acceptedPolicy = route.policy;
        spec.submittedWall = received.wall;
        value = encode(spec);
        if (value.size() > kMaxRowBytes)
            checked = base::makeError(base::Code::InputTooLarge,
                                      "the job takes " + std::to_string(value.size())
                                              + " bytes to store, more than "
                                              + std::to_string(kMaxRowBytes));
    }
    if (!decoded || !checked) {
        const base::Error error = decoded ? checked.error() : decoded.error();
        base::logEvent(base::Event::JobRefused,
                       {{"job", route.rest},
                        {"queue", route.policy.name},
                        {"code", std::to_string(static_cast<int>(error.code))},
                        {"reason", error.message}});
        return respond(refusal(statusOf(error.code), error.code));
    }
    const scheduler::Millis limitMs =
            codec_.timeLimit(request.headers).value_or(kDefaultTimeLimitMs);
    auto submission = std::make_shared<Submission>();
    submission->id = route.rest;
    submission->queue = route.policy.name;
    submission->value = std::move(value);
    submission->respond = std::move(respond);
    submission->receivedAt = received.steady;
    submission->answerBy = received.steady + std::min(limitMs, kMaxTimeLimitMs) - kResponseMarginMs;
    if (const auto refused = reasonToRefuse(decoded.value(), route.policy))
        return refuseUnlessStored(submission, *refused);
    store(submission);
}

std::optional<Intake::Refusal> Intake::reasonToRefuse(const scheduler::JobSpec &spec,
                                                      const scheduler::QueuePolicy &policy)
{
    const int cell = layout_->cellOfJob(spec.id);
    const scheduler::Millis backlogMs = controller_.backlogMs(cell, policy.name);
    if (const scheduler::Millis excessMs = lateByMs(spec, policy, backlogMs); excessMs > 0)
        return Refusal{.code = base::Code::DeadlineExceeded,
                       .reason = "backlog",
                       .retryAfterMs = excessMs};
    const bool hasRoom = admission_.reserve(
            cell, controller_.jobMemory(cell), scheduler::roomHolderOf(spec.account, spec.queue),
            scheduler::memoryFor(spec, clock_().wall), clock_().steady);
    if (!hasRoom)
        return Refusal{.code = base::Code::NoRoomForJob,
                       .reason = "no room for the job",
                       .retryAfterMs = kRoomRetryMs};
    return std::nullopt;
}

// A job that an earlier attempt has stored runs, and its submission must not be refused.
void Intake::refuseUnlessStored(const std::shared_ptr<Submission> &submission,
                                const Refusal &refused)
{
    if (!refusalReads_.tryTake(now()))
        return submission->respond(refusal(kOutcomeUnknown, refused.code));
    table_.read(
            rangeOf(rowsOf(submission->id).jobRow(submission->id)), kStoreTimeout,
            [self = shared_from_this(), submission, refused](const base::Result<RowPage> &page) {
                if (!page)
                    return submission->respond(refusal(kOutcomeUnknown, page.error().code));
                if (!page.value().rows.empty())
                    return submission->respond(http::Response{.status = kOk});
                base::logEvent(base::Event::JobRefused,
                               {{"job", submission->id},
                                {"queue", submission->queue},
                                {"code", std::to_string(static_cast<int>(refused.code))},
                                {"reason", refused.reason},
                                {"retry_after_ms", std::to_string(refused.retryAfterMs)}});
                http::Response response = refusal(kUnavailable, refused.code);
                response.headers["Retry-After"] = std::to_string(std::clamp<scheduler::Millis>(
                        (refused.retryAfterMs + 999) / 1'000, 1, kMaxRetryAfterSeconds));
                submission->respond(std::move(response));
            });
}

// The row is written only if it does not exist, so a parallel second attempt is safe. The second
// attempt covers a lost answer; the first one keeps its full timeout in case the store is slow. The
// store runs the writes of a part one after another, so further attempts would make a slow store
// slower: they wait for longer than its latest answer took.
void Intake::store(const std::shared_ptr<Submission> &submission)
{
    const scheduler::Millis sentAt = clock_().steady;
    const std::chrono::milliseconds left(submission->answerBy - sentAt);
    const std::chrono::milliseconds usual(2 * answerMs_);
    ++submission->attempts;
    ++submission->outstanding;
    const RowKey key = rowsOf(submission->id).jobRow(submission->id);
    const Transaction transaction{.conditions = {{.key = key, .version = 0}},
                                  .writes = {{.key = key, .value = submission->value}}};
    table_.transact(transaction, std::clamp(left, kMinTimeout, std::max(kMaxTimeout, usual)),
                    [self = shared_from_this(), submission,
                     sentAt](const base::Result<TransactionResult> &result) {
                        if (result)
                            self->answerMs_ = self->clock_().steady - sentAt;
                        --submission->outstanding;
                        if (!submission->isAnswered)
                            self->handleStored(submission, result);
                    });
    retryAfter(submission, std::max<std::chrono::milliseconds>(kHedgeDelay, usual));
}

void Intake::retryAfter(const std::shared_ptr<Submission> &submission,
                        std::chrono::milliseconds pause)
{
    if (submission->attempts >= kMaxAttempts)
        return;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, pause);
    timer->async_wait([self = shared_from_this(), submission, timer,
                       attempts = submission->attempts](const boost::system::error_code &) {
        const bool isDue = !submission->isAnswered && submission->attempts == attempts
                           && self->clock_().steady < submission->answerBy;
        if (isDue)
            self->store(submission);
    });
}

void Intake::handleStored(const std::shared_ptr<Submission> &submission,
                          const base::Result<TransactionResult> &result)
{
    const scheduler::Millis now = clock_().steady;
    const std::string took = std::to_string(now - submission->receivedAt);
    if (result) {
        submission->isAnswered = true;
        // An existing row was stored by an earlier attempt of the same submission.
        base::logEvent(base::Event::JobSubmitted,
                       {{"job", submission->id},
                        {"queue", submission->queue},
                        {"took_ms", took},
                        {"repeated", result.value().isCommitted ? "0" : "1"}});
        if (result.value().isCommitted)
            announce(submission->id, {.key = rowsOf(submission->id).jobRow(submission->id),
                                      .value = submission->value,
                                      .version = result.value().version});
        return submission->respond(http::Response{.status = kOk});
    }
    submission->mayBeStored = submission->mayBeStored || isUnknown(result.error());
    if (submission->attempts < kMaxAttempts && now < submission->answerBy)
        return retryAfter(submission, kRetryPause);
    if (submission->outstanding > 0)
        return;
    submission->isAnswered = true;
    base::logEvent(base::Event::JobRefused, {{"job", submission->id},
                                             {"queue", submission->queue},
                                             {"took_ms", took},
                                             {"attempts", std::to_string(submission->attempts)},
                                             {"unknown", submission->mayBeStored ? "1" : "0"},
                                             {"reason", result.error().message}});
    if (submission->mayBeStored)
        return submission->respond(refusal(kOutcomeUnknown, base::Code::PlatformUnknownOutcome));
    submission->respond(refusal(kUnavailable, base::Code::JobNotAccepted));
}

// A read that has found its job, or that an outage has ended, is not spent on an unknown one.
void Intake::returnLookup(double reads, base::Code failure)
{
    if (failure != base::Code::RateLimited)
        lookups_.deposit(reads);
}

base::TimePoint Intake::now() const
{
    return base::TimePoint(std::chrono::milliseconds(clock_().steady));
}

CellRows Intake::rowsOf(const std::string &id) const
{
    return {layout_->cellOfJob(id), layout_->count()};
}

void Intake::announce(const std::string &id, const Row &row)
{
    controller_.announce(layout_->cellOfJob(id), row);
}

http::Response Intake::stateResponse(scheduler::JobState state) const
{
    return json(kOk, codec_.encodeState(state));
}

void Intake::respondState(const std::string &id, const http::Responder &respond)
{
    controller_.state(layout_->cellOfJob(id), id,
                      [self = shared_from_this(), id, respond](const ControllerAnswer &answer) {
                          if (answer.isAnswered && answer.state)
                              return respond(self->stateResponse(*answer.state));
                          if (!self->lookups_.tryTake(self->now(), kReadsOfState))
                              return respond(refuseUnknownJob(id));
                          self->readState(id, respond);
                      });
}

// Fallback when no controller answers or the controller has no such job: reads the stored rows.
void Intake::readState(const std::string &id, const http::Responder &respond)
{
    table_.read(rangeOf(rowsOf(id).progressRow(id)), kStoreTimeout,
                [self = shared_from_this(), id, respond](const base::Result<RowPage> &page) {
                    if (!page) {
                        self->returnLookup(kReadsOfState, page.error().code);
                        return respond(refusal(kUnavailable, page.error().code));
                    }
                    for (const Row &row : page.value().rows)
                        if (const auto progress = decodeProgress(row.value)) {
                            self->returnLookup(kReadsOfState);
                            return respond(self->stateResponse(progress.value().state));
                        }
                    self->ifJobExists(id, respond, [self, respond] {
                        self->returnLookup(kReadsOfState);
                        respond(self->stateResponse(scheduler::JobState::Pending));
                    });
                });
}

void Intake::ifJobExists(const std::string &id, const http::Responder &respond,
                         const std::function<void()> &exists)
{
    table_.read(rangeOf(rowsOf(id).jobRow(id)), kStoreTimeout,
                [respond, exists](const base::Result<RowPage> &page) {
                    if (!page)
                        return respond(refusal(kUnavailable, page.error().code));
                    if (page.value().rows.empty())
                        return respond(refusal(kGone, base::Code::NotFound));
                    exists();
                });
}

// The cancellation is also stored if the job is not: a submission that got no answer may still be
// carried out seconds later, and its job must not run then.
void Intake::cancel(const std::string &id, const scheduler::AccountPolicy *account,
                    const http::Responder &respond)
{
    // The account may be gone from the configuration when the store answers.
    const std::string caller = account != nullptr ? account->name : std::string();
    if (lookups_.tryTake(now()))
        return readForCancellation(id, caller, respond);
    controller_.state(
            layout_->cellOfJob(id), id,
            [self = shared_from_this(), id, caller, respond](const ControllerAnswer &answer) {
                if (!answer.isAnswered || !answer.state)
                    return respond(refuseUnknownJob(id));
                self->readForCancellation(id, caller, respond);
            });
}

void Intake::readForCancellation(const std::string &id, const std::string &account,
                                 const http::Responder &respond)
{
    table_.read(
            rangeOf(rowsOf(id).jobRow(id)), kStoreTimeout,
            [self = shared_from_this(), id, account, respond](const base::Result<RowPage> &page) {
                if (!page) {
                    self->returnLookup(1, page.error().code);
                    return respond(refusal(kUnavailable, page.error().code));
                }
                if (belongsToOther(page.value(), account))
                    return respond(refusal(kForbidden, base::Code::OtherAccount));
                const bool isStored = !page.value().rows.empty();
                if (isStored)
                    self->returnLookup(1);
                else if (!self->cancellations_.tryTake(self->now()))
                    return respond(refuseUnknownJob(id));
                self->storeCancellation(id, isStored, 1, respond);
            });
}

void Intake::storeCancellation(const std::string &id, bool isJobStored, int attempts,
                               const http::Responder &respond)
{
    table_.transact({.writes = {{.key = rowsOf(id).cancelRow(id), .value = kCancelValue}}},
                    kStoreTimeout,
                    [self = shared_from_this(), id, isJobStored, attempts,
                     respond](const base::Result<TransactionResult> &result) {
                        if (result) {
                            base::logEvent(base::Event::JobCancelled,
                                           {{"job", id}, {"job_stored", isJobStored ? "1" : "0"}});
                            self->announce(id, {.key = self->rowsOf(id).cancelRow(id),
                                                .value = kCancelValue,
                                                .version = result.value().version});
                            return respond(isJobStored ? http::Response{.status = kOk}
                                                       : refusal(kGone, base::Code::NotFound));
                        }
                        if (attempts < kMaxAttempts)
                            return self->storeCancellation(id, isJobStored, attempts + 1, respond);
                        respond(refusal(isUnknown(result.error()) ? kOutcomeUnknown : kUnavailable,
                                        result.error().code));
                    });
}

void Intake::respondWaiting(const std::string &queue, const http::Responder &respond)
{
    const auto waiting = controller_.waiting(queue);
    if (!waiting)
        return respond(refusal(kUnavailable, base::Code::PlatformUnavailable));
    respond(json(kOk, codec_.encodeWaiting(*waiting)));
}

} // namespace chicorywick::entry
