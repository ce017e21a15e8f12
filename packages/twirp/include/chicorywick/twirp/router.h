#pragma once

#include <chicorywick/base/result.h>

#include <google/protobuf/message.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicorywick::twirp {

/// @brief Method and caller of a call, passed to the handler with the request message.
struct CallContext
{
    std::string method;
    std::string remoteAddress;
    std::string operatorName;
};

/// @brief A Twirp call received over HTTP.
struct HttpCall
{
    std::string path;
    std::string contentType;
    std::string body;
    CallContext context;
};

/// @brief The HTTP response to a call.
struct HttpReply
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/// @brief The Twirp error body of an Error.
HttpReply errorReply(const base::Error &error);

/// @brief Dispatches Twirp calls to typed handlers. Add all handlers before the first call.
class Router
{
public:
    template <typename Request, typename Response>
    using Handler = std::function<base::Result<Response>(const CallContext &, const Request &)>;

    /// @brief Registers the handler of one method, e.g. "chicorywick.v1.FleetService", "GetPool".
    template <typename Request, typename Response>
    void add(const std::string &service, const std::string &method,
             Handler<Request, Response> handler)
    {
        Entry entry;
        entry.makeRequest = [] { return std::make_unique<Request>(); };
        entry.call = [handler = std::move(handler)](
                             const CallContext &context,
                             const google::protobuf::Message &request) -> CallResult {
            auto response = handler(context, static_cast<const Request &>(request));
            if (!response)
                return response.error();
            return CallResult(std::make_unique<Response>(std::move(response).value()));
        };
        entries_.insert_or_assign("/twirp/" + service + "/" + method, std::move(entry));
    }

    /// @brief Parses and dispatches a call and encodes the response. Unknown JSON fields are
    /// rejected.
    HttpReply handle(const HttpCall &call) const;

private:
    using CallResult = base::Result<std::unique_ptr<google::protobuf::Message>>;

    struct Entry
    {
        std::function<std::unique_ptr<google::protobuf::Message>()> makeRequest;
        std::function<CallResult(const CallContext &, const google::protobuf::Message &)> call;
    };

    std::map<std::string, Entry> entries_;
};

} // namespace chicorywick::twirp
