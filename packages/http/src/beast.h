#pragma once

#include <chicorywick/http/message.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
#include <string>

namespace chicorywick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

/// @brief Returns a text with ASCII letters in lower case.
inline std::string lowerCase(beast::string_view text)
{
    std::string lower(text);
    for (char &character : lower)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return lower;
}

/// @brief Copies Beast's header fields, with names in lower case.
template <typename Fields>
Headers copyHeaders(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields)
        headers.emplace(lowerCase(field.name_string()), std::string(field.value()));
    return headers;
}

} // namespace chicorywick::http
