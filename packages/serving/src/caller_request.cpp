#include "caller_request.h"

#include "header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chicorywick::serving {

namespace {

constexpr std::size_t kMaxCallerBytes = 128;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr const char *kAnonymous = "anonymous";

constexpr auto kBodylessMethods = std::to_array<std::string_view>({"GET", "HEAD", "OPTIONS"});
constexpr auto kBodyMethods = std::to_array<std::string_view>({"POST", "PUT", "PATCH", "DELETE"});
// RFC 9110 section 9.2.2.
constexpr auto kIdempotentMethods =
        std::to_array<std::string_view>({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"});

template <std::size_t Size>
bool isOneOf(const std::string &method, const std::array<std::string_view, Size> &methods)
{
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

base::Error invalid(const std::string &detail)
{
    return base::makeError(base::Code::InvalidArgument, detail);
}

base::Result<std::string> singleHeader(const httplib::Request &request, const std::string &name)
{
    if (request.get_header_value_count(name) > 1)
        return invalid("the header " + name + " appears more than once");
    return request.get_header_value(name);
}

// A slash in the caller's name would make row keys of different callers ambiguous.
base::Result<std::string> readCaller(const httplib::Request &request)
{
    BOOST_OUTCOME_TRY(caller, singleHeader(request, "X-Caller"));
    if (caller.size() > kMaxCallerBytes || !isVisible(caller)
        || caller.find('/') != std::string::npos)
        return invalid("X-Caller must be at most 128 visible ASCII characters without '/'");
    return std::move(caller);
}

base::Result<std::string> readKey(const httplib::Request &request, const std::string &caller)
{
    BOOST_OUTCOME_TRY(key, singleHeader(request, "Idempotency-Key"));
    if (!request.has_header("Idempotency-Key"))
        return std::string();
    if (key.empty() || key.size() > kMaxKeyBytes || !isVisible(key))
        return invalid("Idempotency-Key must be 1 to 200 visible ASCII characters");
    if (caller.empty())
        return invalid("Idempotency-Key needs X-Caller");
    return std::move(key);
}

base::Result<base::Duration> readTimeout(const httplib::Request &request,
                                         const CallerProxyOptions &options)
{
    BOOST_OUTCOME_TRY(text, singleHeader(request, "X-Request-Deadline-Ms"));
    if (!request.has_header("X-Request-Deadline-Ms"))
        return options.defaultDeadline;
    std::uint32_t millis = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (error != std::errc() || end != text.data() + text.size() || millis == 0)
        return invalid("X-Request-Deadline-Ms must be a positive number of milliseconds");
    return std::min<base::Duration>(std::chrono::milliseconds(millis), options.maxDeadline);
}

base::Result<RequestClass> readClass(const httplib::Request &request)
{
    BOOST_OUTCOME_TRY(text, singleHeader(request, "X-Request-Class"));
    if (!request.has_header("X-Request-Class") || text == "quick")
        return RequestClass::Quick;
    if (text == "archive")
        return RequestClass::Archive;
    return invalid("X-Request-Class must be 'quick' or 'archive'");
}

base::Result<std::string> readService(const std::string &target)
{
    if (target.empty() || target.front() != '/')
        return invalid("the request target must be a path, /<service>/...");
    const std::size_t end = std::min(target.find_first_of("/?", 1), target.size());
    if (end == 1)
        return invalid("the request target must be a path, /<service>/...");
    return target.substr(1, end - 1);
}

base::Result<void> readFraming(const httplib::Request &request, const CallerProxyOptions &options,
                               CallerRequest &head)
{
    const BodyFraming framing = framingOf(request.headers);
    if (framing == BodyFraming::Invalid)
        return base::makeError(base::Code::MalformedInput,
                               "Content-Length and Transfer-Encoding contradict each other");
    head.isChunked = framing == BodyFraming::Chunked;
    head.contentLength = contentLengthOf(request.headers).value_or(0);
    head.hasBody = head.isChunked || head.contentLength > 0;
    if (head.contentLength > options.maxBodyBytes)
        return base::makeError(base::Code::InputTooLarge,
                               "the limit is " + std::to_string(options.maxBodyBytes) + " bytes");
    if (head.hasBody && isOneOf(head.method, kBodylessMethods))
        return invalid("a " + head.method + " request must not have a body");
    return base::ok();
}

} // namespace

base::Result<CallerRequest> readRequestHead(const httplib::Request &request,
                                            const CallerProxyOptions &options)
{
    CallerRequest head;
    head.method = request.method;
    head.target = request.target;
    if (!isOneOf(head.method, kBodylessMethods) && !isOneOf(head.method, kBodyMethods))
        return invalid("the method " + head.method + " is not supported");
    BOOST_OUTCOME_TRY(service, readService(head.target));
    head.service = std::move(service);
    BOOST_OUTCOME_TRY(readFraming(request, options, head));
    BOOST_OUTCOME_TRY(caller, readCaller(request));
    BOOST_OUTCOME_TRY(key, readKey(request, caller));
    BOOST_OUTCOME_TRY(timeout, readTimeout(request, options));
    BOOST_OUTCOME_TRY(requestClass, readClass(request));
    head.caller = caller.empty() ? kAnonymous : std::move(caller);
    // Safe methods change nothing, so their responses need not be stored.
    if (!isOneOf(head.method, kBodylessMethods))
        head.idempotencyKey = std::move(key);
    head.timeout = timeout;
    head.requestClass = requestClass;
    head.wantsClose = listsToken(request.headers, "Connection", "close");
    head.isIdempotent = isOneOf(head.method, kIdempotentMethods);
    head.headers = endToEndHeaders(request.headers);
    return head;
}

} // namespace chicorywick::serving
