#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>

#include <google/protobuf/message.h>

#include <memory>
#include <string>

namespace chicorywick::twirp {

/// @brief Address, credentials and timeouts of a client.
struct ClientOptions
{
    std::string host = "127.0.0.1";
    int port = 0;
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    base::Duration callTimeout = std::chrono::seconds(2);
    std::string token;
    std::string operatorName;
    /// Codes for a call that was certainly not executed, and for one that may have been.
    base::Code unavailable = base::Code::PlatformUnavailable;
    base::Code unknownOutcome = base::Code::PlatformUnknownOutcome;
    std::size_t maxIdleConnections = 16;
};

/// @brief A thread-safe Twirp client with protobuf bodies; copies share connections.
class Client
{
public:
    explicit Client(ClientOptions options);

    /// @brief Calls a method. Errors from the server keep their result code.
    base::Result<void> call(const std::string &service, const std::string &method,
                            const google::protobuf::Message &request,
                            google::protobuf::Message &response) const;

    template <typename Response>
    base::Result<Response> call(const std::string &service, const std::string &method,
                                const google::protobuf::Message &request) const
    {
        Response response;
        BOOST_OUTCOME_TRYV(call(service, method, request, response));
        return response;
    }

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace chicorywick::twirp
