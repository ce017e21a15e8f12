#include <chicorywick/http/message.h>

#include <charconv>

namespace chicorywick::http {

const std::string &headerOf(const Headers &headers, const std::string &name)
{
    static const std::string kEmpty;
    const auto found = headers.find(name);
    return found != headers.end() ? found->second : kEmpty;
}

Endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    Endpoint endpoint{.host = text.substr(0, colon)};
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, endpoint.port);
    if (error != std::errc() || end != last)
        return {};
    return endpoint;
}

} // namespace chicorywick::http
