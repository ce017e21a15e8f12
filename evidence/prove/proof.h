#pragma once

#include <chicorywick/base/rng.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorywick::prove {

/// @brief Executes one randomised run. Returns a violation with its trace, or an empty string if
/// all invariants held.
using Run = std::function<std::string(std::uint64_t seed)>;

/// @brief A guarantee that is checked by randomised runs under faults.
struct Proof
{
    std::string name;
    std::string description;
    /// Number of runs if the command line sets none.
    int defaultRuns = 100;
    Run run;
};

/// @brief All registered proofs, sorted by name.
std::vector<Proof> allProofs();

/// @brief Registers a proof. Use a static object in <name>_proof.cpp.
class Registration
{
public:
    explicit Registration(Proof proof);
};

} // namespace chicorywick::prove
