#include <chicorywick/base/hash.h>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace chicorywick::base {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digestHex(std::string_view bytes)
{
    const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(digest.high64),
                  static_cast<unsigned long long>(digest.low64));
    return text.data();
}

std::optional<std::size_t> rendezvousPick(std::string_view key, std::span<const std::string> nodes)
{
    std::optional<std::size_t> best;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const std::uint64_t score = hash64(key, hash64(nodes[i]));
        // Ties are broken by name so that every member picks the same node.
        if (!best || score > bestScore || (score == bestScore && nodes[i] < nodes[*best])) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace chicorywick::base
