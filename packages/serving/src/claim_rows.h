#pragma once

#include "chicorywick/v1/serving.pb.h"

#include <chicorywick/platform/table.h>
#include <chicorywick/serving/idempotency_store.h>

#include <optional>

namespace chicorywick::serving {

/// @brief The table key of a claim.
std::string claimRowKey(const ClaimKey &key);

/// @brief The row of a claim in the given state, without a response.
v1::ClaimRow claimRow(const Claim &claim, v1::ClaimState state);

/// @brief The row of a completed claim; without the body if that is stored in an object.
v1::ClaimRow completedRow(const Claim &claim, const RecordedResponse &response,
                          const std::string &bodyObject);

/// @brief The response in a row; without the body if that is stored in an object.
RecordedResponse recordedResponse(const v1::ClaimRow &row);

/// @brief The state of the key according to a row; empty for a completed row of the same request,
/// whose response is read separately.
std::optional<ClaimView> viewOfRow(const v1::ClaimRow &row, std::uint64_t version,
                                   const ClaimKey &key, base::TimePoint now,
                                   base::Duration holderLifetime);

} // namespace chicorywick::serving
