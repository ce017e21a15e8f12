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

/// @brief The key of one caller's request and the digest of that request.
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

/// @brief The response kept for repeats of a request.
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

/// @brief Nothing stands against claiming; version names the row that a claim replaces.
struct ClaimFree
{
    std::uint64_t version = 0;

    bool operator==(const ClaimFree &) const = default;
};

/// @brief Another request with the key holds the claim.
struct ClaimHeld
{
    /// The holder's deadline has passed, so nobody will complete the claim.
    bool holderExpired = false;

    bool operator==(const ClaimHeld &) const = default;
};

/// @brief The key was used for another request.
struct ClaimMismatch
{
    bool operator==(const ClaimMismatch &) const = default;
};

/// @brief The request has completed and its response cannot be read at the moment.
struct ClaimUnreadable
{
    bool operator==(const ClaimUnreadable &) const = default;
};

/// @brief What the table says about a key.
using ClaimView =
        std::variant<ClaimFree, ClaimHeld, ClaimMismatch, ClaimUnreadable, RecordedResponse>;

/// @brief The answer to an attempt to claim.
using ClaimResult =
        std::variant<Claim, ClaimHeld, ClaimMismatch, ClaimUnreadable, RecordedResponse>;

struct PendingWrite;

/// @brief A claim on its way to the table.
struct PendingClaim
{
    Claim claim;
    std::shared_ptr<PendingWrite> write;
};

/// @brief Limits and timing of the store.
struct IdempotencyStoreOptions
{
    /// Time for which a claim waits for others to share its transaction.
    base::Duration groupWait = std::chrono::milliseconds(2);
    /// Claims in one transaction; each needs a condition and a put.
    std::size_t maxGroup = 40;
    /// Writes that wait; more are refused.
    std::size_t maxWaiting = 1024;
    /// Time for which a request waits for its claim before it is given up as not sent.
    base::Duration claimWait = std::chrono::seconds(2);
    /// Time for which a response waits for being recorded before it is passed on regardless.
    base::Duration completeWait = std::chrono::milliseconds(500);
    /// Bodies above this go to the object store.
    std::size_t maxRowBodyBytes = 32UL * 1024;
    /// Longest deadline of a request plus a margin; an older claim has no holder any more.
    base::Duration holderLifetime = std::chrono::seconds(30);
    /// Time for which claims are kept.
    base::Duration retention = std::chrono::hours(24);
    /// Write on an own thread; else only flush() writes, which virtual-time runs use.
    bool background = true;
};

/// @brief Work of the store since it was opened.
struct IdempotencyStoreCounters
{
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unresolved = 0;

    bool operator==(const IdempotencyStoreCounters &) const = default;
};

/// @brief The claims on idempotency keys, in rows of the platform's table.
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

    /// @brief Claims a key that look() found free. On an error, the request must not be sent; the
    /// store marks the claim abandoned if it turns out to have been written.
    /// The wait ends after the limit, if one is given, or else after the store's own.
    base::Result<ClaimResult> claim(const ClaimKey &key, const ClaimFree &found,
                                    std::optional<base::Duration> limit = {});

    /// @brief The two parts of claim().
    base::Result<PendingClaim> beginClaim(const ClaimKey &key, const ClaimFree &found);
    base::Result<ClaimResult> awaitClaim(const PendingClaim &pending,
                                         std::optional<base::Duration> limit = {});

    /// @brief Records the response. On an error, repeats are told that the outcome is unknown.
    base::Result<void> complete(const Claim &claim, const RecordedResponse &response);

    /// @brief Records, best effort and in the background, that nothing was sent for the claim.
    void abandon(const Claim &claim);

    /// @brief Deletes claims past their retention, up to a number of rows read; the value is the
    /// key to continue after, empty at the end.
    base::Result<std::string> removeExpired(const std::string &after, std::uint32_t rows);

    /// @brief Tries once to write what waits.
    void flush();

    IdempotencyStoreCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace chicorywick::serving
