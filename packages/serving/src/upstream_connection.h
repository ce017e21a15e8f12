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
    /// Bytes that follow, to be read with readBody(); absent if the body is in chunkedBody.
    std::optional<std::uint64_t> contentLength;
    std::string chunkedBody;
    /// The response has no body by its method or status, whatever its headers say.
    bool isBodyless = false;
};

/// @brief Time limits and caller of one exchange.
struct ExchangeLimits
{
    SteadyTime deadline;
    /// Socket of the caller; the exchange ends once the caller has gone. -1 if it goes on.
    int callerSocket = -1;
    /// Asks whether more bytes of a chunked body may be held.
    std::function<bool(std::size_t)> mayBuffer;
};

/// @brief Opens a TCP connection to a numeric address; the descriptor is closed on failure.
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
    /// whole. The facts are complete unless contentLength is set and positive.
    ResponseHead exchange(const OutgoingRequest &request, const ExchangeLimits &limits,
                          ExchangeFacts &facts);

    /// @brief Reads part of a body of known length; zero if the body cannot be completed.
    std::size_t readBody(char *data, std::size_t size, ExchangeFacts &facts);

    /// @brief True if the last response was whole and the connection may carry another request.
    bool isReusable() const;
    /// @brief True if the upstream has closed the idle connection or sent something unasked.
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
