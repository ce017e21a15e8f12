#pragma once

#include "beast.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace chicorywick::http {

// Largest piece of a body that one system call reads.
constexpr std::size_t kMaxReadBytes = 65'536;

/// @brief Makes room for the rest of a body, so that few system calls read it.
template <typename Parser>
void reserveForBody(beast::flat_buffer &buffer, const Parser &parser)
{
    if (!parser.is_header_done())
        return;
    const auto remaining = parser.content_length_remaining();
    if (remaining && *remaining > buffer.capacity())
        buffer.reserve(std::min<std::size_t>(*remaining, kMaxReadBytes));
}

/// @brief Reads one message from a non-blocking stream; done(error) is called from the event loop.
/// The stream, the buffer and the parser must live until then.
template <typename Stream, typename Parser, typename Done>
void readMessage(Stream &stream, beast::flat_buffer &buffer, Parser &parser, Done done)
{
    parser.eager(true);
    beast::http::async_read_some(stream, buffer, parser,
                                 [&stream, &buffer, &parser, done = std::move(done)](
                                         beast::error_code error, std::size_t) mutable {
                                     // All bytes that have arrived are read now. With an
                                     // asynchronous read for each piece, every piece would wait for
                                     // the other events of a busy loop, and a large message would
                                     // take seconds.
                                     while (!error && !parser.is_done()) {
                                         reserveForBody(buffer, parser);
                                         beast::http::read_some(stream, buffer, parser, error);
                                     }
                                     if (error == asio::error::would_block)
                                         return readMessage(stream, buffer, parser,
                                                            std::move(done));
                                     done(error);
                                 });
}

/// @brief Releases the memory that a large message has needed.
inline void shrinkTo(beast::flat_buffer &buffer, std::size_t capacity)
{
    if (buffer.capacity() <= capacity || buffer.size() > capacity)
        return;
    buffer.shrink_to_fit();
    buffer.reserve(capacity);
}

} // namespace chicorywick::http
