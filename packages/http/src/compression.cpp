#include <chicorywick/http/compression.h>

#include <zlib.h>

#include <algorithm>
#include <memory>

namespace chicorywick::http {

namespace {

constexpr int kGzipWindowBits = 15 + 16;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kMaxPartBytes = 65'536;

// zlib does not change its input, although next_in is not const.
Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

std::string compress(const std::string &text)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kGzipWindowBits, kMemoryLevel,
                     Z_DEFAULT_STRATEGY)
        != Z_OK)
        throw std::bad_alloc();
    const std::unique_ptr<z_stream, int (*)(z_stream *)> owner(&stream, deflateEnd);
    std::string data(deflateBound(&stream, text.size()), '\0');
    stream.next_in = bytesOf(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = bytesOf(data);
    stream.avail_out = static_cast<uInt>(data.size());
    deflate(&stream, Z_FINISH);
    data.resize(stream.total_out);
    return data;
}

std::optional<std::string> decompress(const std::string &data, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit2(&stream, kGzipWindowBits) != Z_OK)
        throw std::bad_alloc();
    const std::unique_ptr<z_stream, int (*)(z_stream *)> owner(&stream, inflateEnd);
    stream.next_in = bytesOf(data);
    stream.avail_in = static_cast<uInt>(data.size());
    std::string text;
    int status = Z_OK;
    while (status == Z_OK && text.size() < maxBytes) {
        const std::size_t part = std::min(kMaxPartBytes, maxBytes - text.size());
        const std::size_t former = text.size();
        text.resize(former + part);
        stream.next_out = bytesOf(text) + former;
        stream.avail_out = static_cast<uInt>(part);
        status = inflate(&stream, Z_NO_FLUSH);
        text.resize(former + part - stream.avail_out);
    }
    if (status != Z_STREAM_END)
        return std::nullopt;
    return text;
}

} // namespace chicorywick::http
