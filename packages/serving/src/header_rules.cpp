#include "header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace chicorywick::serving {

namespace {

// Hop-by-hop headers (RFC 9110 section 7.6.1), framing headers, names that cpp-httplib adds to
// requests, and headers that Chicorywick sets.
constexpr auto kConnectionHeaders = std::to_array<std::string_view>(
        {"connection", "keep-alive", "proxy-connection", "proxy-authenticate",
         "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
         "content-length", "remote_addr", "remote_port", "local_addr", "local_port",
         "x-request-outcome", "x-result-code"});

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> listTokens(const httplib::Headers &headers, const std::string &name)
{
    std::vector<std::string> tokens;
    const auto [begin, end] = headers.equal_range(name);
    for (auto it = begin; it != end; ++it) {
        std::string_view rest = it->second;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            tokens.push_back(lowered(trimmed(rest.substr(0, comma))));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return tokens;
}

bool contains(const std::vector<std::string> &tokens, std::string_view token)
{
    return std::find(tokens.begin(), tokens.end(), token) != tokens.end();
}

} // namespace

bool listsToken(const httplib::Headers &headers, const std::string &name, std::string_view token)
{
    return contains(listTokens(headers, name), token);
}

std::optional<std::uint64_t> contentLengthOf(const httplib::Headers &headers)
{
    if (headers.count("Content-Length") != 1)
        return std::nullopt;
    const std::string &text = headers.find("Content-Length")->second;
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return length;
}

BodyFraming framingOf(const httplib::Headers &headers)
{
    const std::size_t codings = headers.count("Transfer-Encoding");
    const std::size_t lengths = headers.count("Content-Length");
    if (codings > 0) {
        // The library decodes the body only if "chunked" is the only transfer coding.
        const bool isChunked = codings == 1 && lengths == 0
                               && lowered(headers.find("Transfer-Encoding")->second) == "chunked";
        return isChunked ? BodyFraming::Chunked : BodyFraming::Invalid;
    }
    if (lengths == 0)
        return BodyFraming::UntilClose;
    return contentLengthOf(headers) ? BodyFraming::Length : BodyFraming::Invalid;
}

httplib::Headers endToEndHeaders(const httplib::Headers &headers)
{
    const std::vector<std::string> named = listTokens(headers, "Connection");
    httplib::Headers kept;
    for (const auto &[name, value] : headers) {
        const std::string key = lowered(name);
        const bool isDropped = std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(), key)
                                       != kConnectionHeaders.end()
                               || contains(named, key);
        if (!isDropped)
            kept.emplace(name, value);
    }
    return kept;
}

} // namespace chicorywick::serving
