#pragma once

#include "chicorywick/v1/serving.pb.h"

#include <chicorywick/platform/table.h>
#include <chicorywick/serving/idempotency_store.h>

#include <optional>

namespace chicorywick::serving {

/// @brief The table key of a claim.
std::string claimRowKey(const ClaimKey &key);

/// @brief A claim's row in a state, without a response.
v1::ClaimRow claimRow(const Claim &claim, v1::ClaimState state);

/// @brief A row with the response; the body is left out if it is in an object.
v1::ClaimRow completedRow(const Claim &claim, const RecordedResponse &response,
                          const std::string &bodyObject);

/// @brief The response in a row, without a body that is in an object.
RecordedResponse recordedResponse(const v1::ClaimRow &row);

/// @brief What a row means for a request with the key; absent for a completed row of the same
/// request, whose response has yet to be read.
std::optional<ClaimView> viewOfRow(const v1::ClaimRow &row, std::uint64_t version,
                                   const ClaimKey &key, base::TimePoint now,
                                   base::Duration holderLifetime);

} // namespace chicorywick::serving
