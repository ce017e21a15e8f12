#include <chicorywick/base/rng.h>
#include <chicorywick/base/unique_id.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <random>

namespace chicorywick::base {

std::string uniqueId()
{
    static const std::uint64_t processPart = [] {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
    }();
    static std::atomic<std::uint64_t> counter{0};
    // The counter is scrambled by the generator so that ids spread evenly over key ranges.
    const std::uint64_t counted = Rng(counter++)();
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(processPart),
                  static_cast<unsigned long long>(counted));
    return text.data();
}

} // namespace chicorywick::base
