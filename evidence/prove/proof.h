#pragma once

#include <chicorywick/base/rng.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorywick::prove {

/// @brief One randomised run: a violation's description with its trace, or empty if all invariants
/// held.
using Run = std::function<std::string(std::uint64_t seed)>;

/// @brief A proof: randomised runs that assert invariants under faults.
struct Proof
{
    std::string name;
    std::string description;
    /// Runs when the command line names no number.
    int defaultRuns = 100;
    Run run;
};

/// @brief All registered proofs, by name.
std::vector<Proof> allProofs();

/// @brief Registers a proof; use as a static object in <name>_proof.cpp.
class Registration
{
public:
    explicit Registration(Proof proof);
};

} // namespace chicorywick::prove
