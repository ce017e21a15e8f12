#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/caller_proxy.h>

#include <httplib.h>

#include <string>

namespace chicorywick::serving {

/// @brief A validated request of a caller, without its body.
struct CallerRequest
{
    std::string method;
    std::string target;
    std::string service;
    std::string caller;
    std::string idempotencyKey;
    RequestClass requestClass = RequestClass::Quick;
    base::Duration timeout{};
    httplib::Headers headers;
    bool isIdempotent = false;
    bool hasBody = false;
    bool isChunked = false;
    std::uint64_t contentLength = 0;
    bool wantsClose = false;
};

/// @brief Validates the method, target and headers of a request.
base::Result<CallerRequest> readRequestHead(const httplib::Request &request,
                                            const CallerProxyOptions &options);

} // namespace chicorywick::serving
