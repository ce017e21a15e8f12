#pragma once

#include "caller_reply.h"
#include "caller_request.h"
#include "proxy_context.h"

#include <optional>

namespace chicorywick::serving {

/// @brief One request of a caller, from its header section to the last byte of the response.
///
/// Shared ownership keeps the session alive: the content provider of a streamed response owns it
/// until the response has been written.
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(std::shared_ptr<ProxyContext> context, int callerSocket);
    ~RequestSession();

    /// @brief Validates the method, target and headers. If they are rejected, hasReply() is true
    /// afterwards.
    void readHead(const httplib::Request &request);
    bool hasReply() const { return reply_.has_value(); }
    bool hasBody() const { return request_.hasBody; }
    const CallerRequest &request() const { return request_; }

    /// @brief Appends a part of the body. Returns false if the body is too large.
    bool appendBody(const char *data, std::size_t size);
    /// @brief Rejects a request of which nothing has been sent, and marks the connection for
    /// closing.
    void reject(const base::Error &error);
    /// @brief Forwards the request and sets the reply.
    void run();

    /// @brief Copies the reply to the library's response.
    void writeTo(httplib::Response &response);
    /// @brief Corrects the headers that the library adds.
    void finishHeaders(httplib::Response &response);
    bool mustClose() const { return mustClose_; }
    /// @brief Time by which the response must have been written.
    SteadyTime writeDeadline() const;

private:
    CallerReply serve();
    CallerReply serveKeyed();
    CallerReply forward();
    std::optional<CallerReply> acquireClaim();
    ExchangeResult attempt(Permit permit, CallerReply &reply);
    ExchangeResult readResponse(Permit &permit, std::unique_ptr<UpstreamConnection> connection,
                                CallerReply &reply, ExchangeFacts &facts);
    void beginStreaming(Permit &permit, std::unique_ptr<UpstreamConnection> connection,
                        const ExchangeFacts &facts);
    bool streamPart(httplib::DataSink &sink);
    void endStreaming();
    bool mayRetry(Disposition disposition, int attempts);
    CallerReply failureReply(Disposition disposition);
    CallerReply rejection(const base::Error &error);
    CallerReply completedReply(const ResponseHead &head, std::string body) const;
    OutgoingRequest outgoingRequest() const;
    AdmissionRequest admission() const;
    ExchangeLimits limits();
    bool isKeyed() const { return !request_.idempotencyKey.empty(); }
    bool isPastDeadline() const { return std::chrono::steady_clock::now() >= deadline_; }
    bool isCallerDisconnected() const;
    void recordClaimOutcome(const CallerReply &reply);
    void count(const CallerReply &reply);
    void notifyFinished(RequestOutcome outcome, int status) const;

    std::shared_ptr<ProxyContext> context_;
    int callerSocket_;
    CallerRequest request_;
    std::string body_;
    std::optional<CallerReply> reply_;
    bool mustClose_ = false;
    SteadyTime startedAt_ = std::chrono::steady_clock::now();
    SteadyTime deadline_{};
    base::TimePoint admissionDeadline_{};

    std::vector<std::string> triedUpstreams_;
    /// An attempt was sent and it is unknown whether it ran.
    bool mayHaveRun_ = false;
    ClaimFree claimFree_;
    std::optional<Claim> claim_;

    BufferReservation bufferReservation_;
    std::optional<Permit> streamPermit_;
    std::unique_ptr<UpstreamConnection> streamConnection_;
    ExchangeFacts streamFacts_;
    SteadyTime attemptStart_{};
};

} // namespace chicorywick::serving
