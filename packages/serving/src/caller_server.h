#pragma once

#include "connection_server.h"
#include "request_session.h"

#include <httplib.h>

namespace chicorywick::serving {

/// @brief Reads requests and writes responses with cpp-httplib; ConnectionServer manages the
/// connections.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(std::shared_ptr<ProxyContext> context);

    /// @brief Serves one request. Returns false if the connection must be closed.
    bool serveOne(CallerConnection &connection);

private:
    void prepare(httplib::Request &request) const;
    HandlerResponse handleHead(const httplib::Request &request, httplib::Response &response);
    void handleBody(const httplib::Request &request, httplib::Response &response,
                    const httplib::ContentReader &reader);
    void handleError(const httplib::Request &request, httplib::Response &response);

    std::shared_ptr<ProxyContext> context_;
};

} // namespace chicorywick::serving
