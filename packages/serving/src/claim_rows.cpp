#include "claim_rows.h"

namespace chicorywick::serving {

std::string claimRowKey(const ClaimKey &key)
{
    return "idem/" + key.caller + '/' + key.key;
}

v1::ClaimRow claimRow(const Claim &claim, v1::ClaimState state)
{
    v1::ClaimRow row;
    row.set_holder(claim.token);
    row.set_state(state);
    row.set_request_digest(claim.key.digest);
    row.set_claimed_at_ms(claim.claimedAtMs);
    return row;
}

v1::ClaimRow completedRow(const Claim &claim, const RecordedResponse &response,
                          const std::string &bodyObject)
{
    v1::ClaimRow row = claimRow(claim, v1::CLAIM_STATE_COMPLETED);
    v1::StoredResponse *stored = row.mutable_response();
    stored->set_status(static_cast<std::uint32_t>(response.status));
    for (const StoredHeader &header : response.headers) {
        v1::ResponseHeader *added = stored->add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
    if (bodyObject.empty())
        stored->set_body(response.body);
    else
        stored->set_body_object(bodyObject);
    return row;
}

RecordedResponse recordedResponse(const v1::ClaimRow &row)
{
    RecordedResponse response;
    response.status = static_cast<int>(row.response().status());
    for (const v1::ResponseHeader &header : row.response().headers())
        response.headers.push_back({header.name(), header.value()});
    response.body = row.response().body();
    return response;
}

// Nothing was sent for an abandoned row, so its digest is ignored.
std::optional<ClaimView> viewOfRow(const v1::ClaimRow &row, std::uint64_t version,
                                   const ClaimKey &key, base::TimePoint now,
                                   base::Duration holderLifetime)
{
    if (row.state() == v1::CLAIM_STATE_ABANDONED)
        return ClaimFree{version};
    if (row.request_digest() != key.digest)
        return ClaimMismatch{};
    if (row.state() == v1::CLAIM_STATE_COMPLETED)
        return std::nullopt;
    return ClaimHeld{now - base::fromMillis(row.claimed_at_ms()) > holderLifetime};
}

} // namespace chicorywick::serving
