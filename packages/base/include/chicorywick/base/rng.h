#pragma once

#include <cstdint>
#include <limits>

namespace chicorywick::base {

/// @brief Seeded SplitMix64 generator; satisfies UniformRandomBitGenerator.
class Rng
{
public:
    using result_type =
            std::uint64_t; // NOLINT(readability-identifier-naming): named by the standard

    explicit Rng(std::uint64_t seed)
        : state_(seed)
    {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()()
    {
        state_ += 0x9E3779B97F4A7C15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31);
    }

    /// @brief A number in [0, limit); limit must be positive.
    std::uint64_t below(std::uint64_t limit) { return (*this)() % limit; }

    /// @brief A number in [0, 1).
    double uniform() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

    /// @brief True with the given probability.
    bool chance(double probability) { return uniform() < probability; }

    /// @brief An exponentially distributed number with the given mean.
    double exponential(double mean);

    /// @brief A new generator seeded from this one.
    Rng fork() { return Rng((*this)()); }

private:
    std::uint64_t state_;
};

} // namespace chicorywick::base
