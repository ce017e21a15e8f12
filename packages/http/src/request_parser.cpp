#include "request_parser.h"

#include <string>

namespace chicorywick::http {

namespace {

// Of a map node with two strings, besides their text.
constexpr std::size_t kFieldOverheadBytes = 128;

} // namespace

void RequestParser::on_request_impl(beast::http::verb /*verb*/, beast::string_view method,
                                    beast::string_view target, int /*version*/,
                                    beast::error_code & /*error*/)
{
    request_.method.assign(method.data(), method.size());
    request_.target.assign(target.data(), target.size());
    headBytes_ += method.size() + target.size();
}

void RequestParser::on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/,
                                     beast::error_code & /*error*/)
{}

// The limit of the header's size is no limit of its memory: a field of three bytes takes many times
// that once it is parsed.
void RequestParser::on_field_impl(beast::http::field /*known*/, beast::string_view name,
                                  beast::string_view value, beast::error_code &error)
{
    if (++fields_ > maxFields_) {
        error = beast::http::error::header_limit;
        return;
    }
    if (is_header_done())
        return;
    headBytes_ += kFieldOverheadBytes + name.size() + value.size();
    request_.headers.emplace(lowerCase(name), std::string(value));
}

void RequestParser::on_header_impl(beast::error_code & /*error*/) {}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                      beast::error_code & /*error*/)
{}

std::size_t RequestParser::on_body_impl(beast::string_view piece, beast::error_code & /*error*/)
{
    request_.body.append(piece.data(), piece.size());
    return piece.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                                         beast::error_code & /*error*/)
{}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*left*/, beast::string_view piece,
                                              beast::error_code & /*error*/)
{
    request_.body.append(piece.data(), piece.size());
    return piece.size();
}

void RequestParser::on_finish_impl(beast::error_code & /*error*/) {}

} // namespace chicorywick::http
