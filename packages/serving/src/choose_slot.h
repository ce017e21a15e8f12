#pragma once

#include "routing_snapshot.h"

#include <chicorywick/base/rng.h>

#include <optional>
#include <span>
#include <string>

namespace chicorywick::serving {

/// @brief An acquired slot.
struct ChosenSlot
{
    UpstreamPtr upstream;
    bool isProbe = false;
};

/// @brief Inputs of a choice other than the loads.
struct ChoiceContext
{
    const SlotSharing *sharing = nullptr;
    unsigned entryInstances = 1;
    base::TimePoint now;
    std::span<const std::string> excluded;
    base::Rng *rng = nullptr;
};

/// @brief Takes a slot in the local zone if one is free, or in another zone if that lowers the
/// wait.
std::optional<ChosenSlot> chooseSlot(const ServiceSnapshot &service, const ChoiceContext &context);

/// @brief The rule for the slots of an upstream of the service.
SlotRule ruleFor(const ServiceSnapshot &service, const ChoiceContext &context, bool local);

bool isExcluded(const UpstreamState &upstream, std::span<const std::string> excluded);

/// @brief Whether any upstream that accepts requests is not excluded.
bool hasCandidate(const ServiceSnapshot &service, std::span<const std::string> excluded);

} // namespace chicorywick::serving
