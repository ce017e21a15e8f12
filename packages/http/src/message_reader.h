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

/// @brief Largest size of a buffer for messages with a limit of their header. The parser checks
/// that limit for the header only; trailers and chunk extensions without end would fill any buffer.
inline std::size_t maxBufferSize(std::size_t maxHeaderBytes)
{
    return maxHeaderBytes + kMaxReadBytes;
}

/// @brief Number of bytes for the next read: the free part of the buffer, or what is left of a
/// body, so that few system calls read it. 0 if the buffer is full.
template <typename Parser>
std::size_t nextReadSize(const beast::flat_buffer &buffer, const Parser &parser)
{
    constexpr std::size_t kMinReadBytes = 512;
    std::size_t wanted = std::max(buffer.capacity() - buffer.size(), kMinReadBytes);
    if (parser.is_header_done())
        wanted = std::max<std::size_t>(wanted, parser.content_length_remaining().value_or(0));
    return std::min({wanted, kMaxReadBytes, buffer.max_size() - buffer.size()});
}

/// @brief Parses what the buffer holds. The error is need_more if the message is not complete.
template <typename Parser>
beast::error_code parseBuffered(beast::flat_buffer &buffer, Parser &parser)
{
    beast::error_code error = beast::http::error::need_more;
    while (buffer.size() > 0 && !parser.is_done()) {
        buffer.consume(parser.put(buffer.data(), error));
        if (error)
            return error;
    }
    return parser.is_done() ? beast::error_code() : beast::http::error::need_more;
}

/// @brief The outcome of a message whose stream has ended.
template <typename Parser>
beast::error_code finishAtEnd(Parser &parser)
{
    if (!parser.got_some())
        return beast::http::error::end_of_stream;
    beast::error_code error;
    parser.put_eof(error);
    return error;
}

/// @brief Reads one message from a non-blocking stream; done(error) is called from the event loop.
/// The stream, the buffer and the parser must live until then. Calls progress() before each wait
/// for more bytes; if it returns false, the message is given up with operation_aborted.
///
/// Beast's own operations wait for more bytes without a chance to count what they hold.
template <typename Stream, typename Parser, typename Progress, typename Done>
void readMessage(Stream &stream, beast::flat_buffer &buffer, Parser &parser, Progress progress,
                 Done done)
{
    parser.eager(true);
    if (!progress())
        return done(asio::error::operation_aborted);
    const std::size_t size = nextReadSize(buffer, parser);
    stream.async_read_some(
            buffer.prepare(size),
            [&stream, &buffer, &parser, progress = std::move(progress),
             done = std::move(done)](beast::error_code error, std::size_t bytes) mutable {
                buffer.commit(bytes);
                // All bytes that have arrived are read now. With an asynchronous read for each
                // piece, every piece would wait for the other events of a busy loop, and a large
                // message would take seconds.
                for (int reads = 0;; ++reads) {
                    if (error == asio::error::eof)
                        return done(finishAtEnd(parser));
                    if (error == asio::error::would_block)
                        break;
                    if (!error)
                        error = parseBuffered(buffer, parser);
                    if (error != beast::http::error::need_more)
                        return done(error);
                    const std::size_t next = nextReadSize(buffer, parser);
                    if (next == 0)
                        return done(beast::http::error::buffer_overflow);
                    if (reads == kMaxReadsPerTurn)
                        break;
                    error = {};
                    buffer.commit(stream.read_some(buffer.prepare(next), error));
                }
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
