#include <chicorywick/http/compression.h>

#include <doctest/doctest.h>

namespace chicorywick::http {

namespace {

constexpr std::size_t kTextBytes = 300'000;

} // namespace

// Guards against text that comes back incomplete, for example at the end of a buffer.
TEST_CASE("compressed text comes back as it was")
{
    std::string text;
    for (int number = 0; text.size() < kTextBytes; ++number)
        text += "route-" + std::to_string(number) + ";";
    const std::string data = compress(text);
    CHECK(data.size() < text.size() / 2);
    CHECK(decompress(data, text.size()) == text);
    CHECK(decompress(compress(""), 1) == "");
}

// Guards against a small message that fills the memory, and against a truncated configuration.
TEST_CASE("malformed, truncated and too large data is refused")
{
    const std::string data = compress(std::string(kTextBytes, 'x'));
    CHECK(!decompress(data, kTextBytes - 1));
    CHECK(!decompress(data.substr(0, data.size() / 2), kTextBytes));
    CHECK(!decompress("plain text", kTextBytes));
    CHECK(!decompress("", kTextBytes));
}

} // namespace chicorywick::http
