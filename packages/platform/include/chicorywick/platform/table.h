#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/twirp/client.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorywick::platform {

class MemoryPlatform;

/// @brief A row of the transactional table.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::string writer;

    bool operator==(const Row &) const = default;
};

/// @brief Requires that a row has this version; version 0 requires that it is absent.
struct Condition
{
    std::string key;
    std::uint64_t version = 0;

    bool operator==(const Condition &) const = default;
};

struct Put
{
    std::string key;
    std::string value;

    bool operator==(const Put &) const = default;
};

/// @brief An atomic conditional write of several rows.
struct Transaction
{
    std::string writer;
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;

    bool operator==(const Transaction &) const = default;
};

/// @brief Limits of the table.
constexpr std::size_t kMaxRowBytes = 64UL * 1024;
constexpr std::size_t kMaxTransactionOperations = 100;
constexpr std::uint32_t kMaxScanRows = 1000;

/// @brief One page of a scan.
struct ScanPage
{
    std::vector<Row> rows;
    bool more = false;

    bool operator==(const ScanPage &) const = default;
};

/// @brief Access to an in-memory platform from an availability zone.
struct MemoryAccess
{
    std::shared_ptr<MemoryPlatform> platform;
    std::string zone;
};

/// @brief The transactional table, over Twirp or in memory.
///
/// A commit fails with TableConflict or PlatformUnavailable if it was certainly not applied, and
/// with PlatformUnknownOutcome if it may have been or may still be applied.
class Table
{
public:
    explicit Table(twirp::Client client)
        : backend_(std::move(client))
    {}
    explicit Table(MemoryAccess memory)
        : backend_(std::move(memory))
    {}

    base::Result<std::optional<Row>> get(const std::string &key) const;
    base::Result<ScanPage> scan(const std::string &prefix, const std::string &after,
                                std::uint32_t limit) const;

    /// @brief Reads the rows with a prefix page by page; returns at most bound rows.
    base::Result<std::vector<Row>> scanAll(const std::string &prefix, std::size_t bound) const;

    /// @brief Applies the transaction; the value is the version of the rows put.
    base::Result<std::uint64_t> commit(const Transaction &transaction) const;

private:
    std::variant<twirp::Client, MemoryAccess> backend_;
};

/// @brief Commits a transaction and resolves an unknown outcome by retrying.
///
/// The transaction must put at least one row that it names in a condition. The error remains
/// PlatformUnknownOutcome after the last try, or if other writers have overwritten the rows.
base::Result<std::uint64_t> commitResolved(const Table &table, const Transaction &transaction,
                                           int maxTries = 4);

} // namespace chicorywick::platform
