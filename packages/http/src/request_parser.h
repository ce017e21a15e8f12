#pragma once

#include "beast.h"

#include <chicorywick/http/message.h>

#include <cstddef>
#include <cstdint>

namespace chicorywick::http {

/// @brief Parses a request with a limit on the number of its header fields. Trailers are counted
/// and left out.
class RequestParser : public beast::http::basic_parser<true>
{
public:
    explicit RequestParser(std::size_t maxFields)
        : maxFields_(maxFields)
    {}

    /// @brief Bytes of memory of what was parsed so far.
    std::size_t heldBytes() const
    {
        return headBytes_ + (request_.body.empty() ? 0 : request_.body.capacity());
    }

    /// @brief Takes the request out of the parser.
    Request release() { return std::move(request_); }

private:
    void on_request_impl(beast::http::verb verb, beast::string_view method,
                         beast::string_view target, int version, beast::error_code &error) override;
    void on_response_impl(int code, beast::string_view reason, int version,
                          beast::error_code &error) override;
    void on_field_impl(beast::http::field known, beast::string_view name, beast::string_view value,
                       beast::error_code &error) override;
    void on_header_impl(beast::error_code &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           beast::error_code &error) override;
    std::size_t on_body_impl(beast::string_view piece, beast::error_code &error) override;
    void on_chunk_header_impl(std::uint64_t size, beast::string_view extensions,
                              beast::error_code &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, beast::string_view piece,
                                   beast::error_code &error) override;
    void on_finish_impl(beast::error_code &error) override;

    std::size_t maxFields_;
    std::size_t fields_ = 0;
    std::size_t headBytes_ = 0;
    Request request_;
};

} // namespace chicorywick::http
