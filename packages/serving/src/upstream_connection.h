#pragma once

#include "exchange.h"
#include "file_descriptor.h"
#include "message_stream.h"

#include <chicorywick/serving/routing_table.h>

#include <functional>
#include <memory>
#include <optional>

namespace chicorywick::serving {

/// @brief Status, headers and, if it was chunked, the body of a response.
struct ResponseHead
{
    int status = 0;
    httplib::Headers headers;
    /// Body bytes to read with readBody(); empty if the body is in chunkedBody.
    std::optional<std::uint64_t> contentLength;
    std::string chunkedBody;
    /// The method or status rules out a body, regardless of the headers.
    bool isBodyless = false;
};

/// @brief Deadline, caller socket and buffer limit of one exchange.
struct ExchangeLimits
{
    SteadyTime deadline;
    /// Socket of the caller; the exchange ends when the caller disconnects. With -1, it continues
    /// without the caller.
    int callerSocket = -1;
    /// Whether that many more bytes of a chunked body may be buffered.
    std::function<bool(std::size_t)> mayBuffer;
};

/// @brief Opens a TCP connection to a numeric address. Returns an empty descriptor on failure.
FileDescriptor connectTo(const UpstreamTarget &target, const ExchangeLimits &limits,
                         ExchangeFacts &facts);

/// @brief One HTTP connection to an upstream, used by one request at a time.
class UpstreamConnection
{
public:
    explicit UpstreamConnection(FileDescriptor socket);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// @brief Sends the request and reads the response up to its body; chunked bodies are read
    /// completely. If contentLength is positive, readBody() completes the facts.
    ResponseHead exchange(const OutgoingRequest &request, const ExchangeLimits &limits,
                          ExchangeFacts &facts);

    /// @brief Reads part of a body of known length. Returns 0 at its end or if it cannot be
    /// completed.
    std::size_t readBody(char *data, std::size_t size, ExchangeFacts &facts);

    /// @brief Whether the last response was complete and the connection may carry another request.
    bool isReusable() const;
    /// @brief Whether the upstream has closed the idle connection or sent unexpected bytes.
    bool isStale() const;
    void markIdle() { idleSince_ = std::chrono::steady_clock::now(); }
    SteadyTime idleSince() const { return idleSince_; }

private:
    class Protocol;

    void recordStreamState(ExchangeFacts &facts) const;
    void readHeadFields(const httplib::Response &response, ResponseHead &head);

    FileDescriptor socket_;
    MessageStream stream_;
    std::unique_ptr<Protocol> protocol_;
    std::uint64_t bodyBytesLeft_ = 0;
    bool mayPersist_ = false;
    SteadyTime idleSince_{};
};

} // namespace chicorywick::serving
