#pragma once

#include <chicorywick/http/message.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cctype>

namespace chicorywick::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

/// @brief Copies Beast's header fields, with names in lower case.
template <typename Fields>
Headers copyHeaders(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        std::string name(field.name_string());
        for (char &character : name)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        headers.emplace(std::move(name), std::string(field.value()));
    }
    return headers;
}

} // namespace chicorywick::http
