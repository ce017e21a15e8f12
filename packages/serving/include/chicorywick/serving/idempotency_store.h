#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/platform/object_store.h>
#include <chicorywick/platform/table.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorywick::serving {

/// @brief Caller, idempotency key and request digest of one request.
struct ClaimKey
{
    std::string caller;
    std::string key;
    std::string digest;

    bool operator==(const ClaimKey &) const = default;
};

struct StoredHeader
{
    std::string name;
    std::string value;

    bool operator==(const StoredHeader &) const = default;
};

/// @brief The response stored for repeats of a request.
struct RecordedResponse
{
    int status = 0;
    std::vector<StoredHeader> headers;
    std::string body;

    bool operator==(const RecordedResponse &) const = default;
};

/// @brief A claim that this process holds: the request may be sent once.
struct Claim
{
    ClaimKey key;
    std::string token;
    std::uint64_t version = 0;
    std::int64_t claimedAtMs = 0;

    bool operator==(const Claim &) const = default;
};

/// @brief The key can be claimed; `version` is the version of the row that the claim replaces.
struct ClaimFree
{
    std::uint64_t version = 0;

    bool operator==(const ClaimFree &) const = default;
};

/// @brief Another request with the key holds the claim.
struct ClaimHeld
{
    /// The holder's deadline has passed, so the claim will never be completed.
    bool holderExpired = false;

    bool operator==(const ClaimHeld &) const = default;
};

/// @brief The key was used with a different request.
struct ClaimMismatch
{
    bool operator==(const ClaimMismatch &) const = default;
};

/// @brief The request has completed, but its stored response cannot be read at present.
struct ClaimUnreadable
{
    bool operator==(const ClaimUnreadable &) const = default;
};

/// @brief State of a key in the table.
using ClaimView =
        std::variant<ClaimFree, ClaimHeld, ClaimMismatch, ClaimUnreadable, RecordedResponse>;

/// @brief Result of an attempt to claim a key.
using ClaimResult =
        std::variant<Claim, ClaimHeld, ClaimMismatch, ClaimUnreadable, RecordedResponse>;

struct PendingWrite;

/// @brief A claim whose write has not finished.
struct PendingClaim
{
    Claim claim;
    std::shared_ptr<PendingWrite> write;
};

/// @brief Limits and timing of the store.
struct IdempotencyStoreOptions
{
    /// Time a claim waits for others to join its transaction.
    base::Duration groupWait = std::chrono::milliseconds(2);
    /// Claims per transaction; each needs one condition and one put.
    std::size_t maxGroup = 40;
    /// Queued writes; further writes are refused.
    std::size_t maxWaiting = 1024;
    /// Time a request waits for its claim before it is rejected as not sent.
    base::Duration claimWait = std::chrono::seconds(2);
    /// Time a response waits to be recorded before it is returned to the caller anyway.
    base::Duration completeWait = std::chrono::milliseconds(500);
    /// Larger bodies are stored in the object store.
    std::size_t maxRowBodyBytes = 32UL * 1024;
    /// Longest request deadline plus a margin; the holder of an older claim has stopped.
    base::Duration holderLifetime = std::chrono::seconds(30);
    /// Time after which claims may be deleted.
    base::Duration retention = std::chrono::hours(24);
    /// Write on a background thread. If false, only flush() writes; simulations in virtual time
    /// need this.
    bool background = true;
};

/// @brief Counters since the store was opened.
struct IdempotencyStoreCounters
{
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unresolved = 0;

    bool operator==(const IdempotencyStoreCounters &) const = default;
};

/// @brief Claims on idempotency keys, stored as rows of the platform's table.
class IdempotencyStore
{
public:
    IdempotencyStore(platform::Table table, platform::ObjectStore objects, base::Clock clock,
                     IdempotencyStoreOptions options = {});
    ~IdempotencyStore();
    IdempotencyStore(const IdempotencyStore &) = delete;
    IdempotencyStore &operator=(const IdempotencyStore &) = delete;

    /// @brief Reads the row of a key.
    base::Result<ClaimView> lookUp(const ClaimKey &key) const;

    /// @brief Claims a key that lookUp() found free. On an error, the request must not be sent; if
    /// the claim was written nevertheless, the store marks it abandoned. Waits at most `limit` and
    /// never longer than claimWait.
    base::Result<ClaimResult> claim(const ClaimKey &key, const ClaimFree &found,
                                    std::optional<base::Duration> limit = {});

    /// @brief The two steps of claim().
    base::Result<PendingClaim> beginClaim(const ClaimKey &key, const ClaimFree &found);
    base::Result<ClaimResult> awaitClaim(const PendingClaim &pending,
                                         std::optional<base::Duration> limit = {});

    /// @brief Records the response. If it is not recorded, repeats of the request get the outcome
    /// unknown.
    base::Result<void> complete(const Claim &claim, const RecordedResponse &response);

    /// @brief Records in the background, as best effort, that nothing was sent for the claim.
    void abandon(const Claim &claim);

    /// @brief Reads up to `rows` rows and deletes the claims past their retention. Returns the key
    /// to continue after; empty at the end.
    base::Result<std::string> removeExpired(const std::string &after, std::uint32_t rows);

    /// @brief Tries once to write the queued claims, responses and abandonments.
    void flush();

    IdempotencyStoreCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace chicorywick::serving
