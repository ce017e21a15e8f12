#pragma once

#include "beast.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace chicorywick::http {

// Largest piece of a body that one system call reads.
constexpr std::size_t kMaxReadBytes = 65'536;
// Reads of one connection before other events of the loop get their turn.
constexpr int kMaxReadsPerTurn = 16;

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

/// @brief Largest size of a buffer for messages with a limit of their header. The parser checks
/// that limit for the header only; trailers and chunk extensions without end would fill any buffer.
inline std::size_t maxBufferSize(std::size_t maxHeaderBytes)
{
    return maxHeaderBytes + kMaxReadBytes;
}

/// @brief Reads one message from a non-blocking stream; done(error) is called from the event loop.
/// The stream, the buffer and the parser must live until then. Calls progress() before each wait
/// for more bytes; if it returns false, the message is given up with operation_aborted.
template <typename Stream, typename Parser, typename Progress, typename Done>
void readMessage(Stream &stream, beast::flat_buffer &buffer, Parser &parser, Progress progress,
                 Done done)
{
    parser.eager(true);
    beast::http::async_read_some(
            stream, buffer, parser,
            [&stream, &buffer, &parser, progress = std::move(progress),
             done = std::move(done)](beast::error_code error, std::size_t) mutable {
                // All bytes that have arrived are read now. With an asynchronous read for each
                // piece, every piece would wait for the other events of a busy loop, and a large
                // message would take seconds.
                int reads = 0;
                while (!error && !parser.is_done() && reads < kMaxReadsPerTurn) {
                    reserveForBody(buffer, parser);
                    beast::http::read_some(stream, buffer, parser, error);
                    ++reads;
                }
                const bool isWaiting =
                        error == asio::error::would_block || (!error && !parser.is_done());
                if (!isWaiting)
                    return done(error);
                if (!progress())
                    return done(asio::error::operation_aborted);
                readMessage(stream, buffer, parser, std::move(progress), std::move(done));
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
