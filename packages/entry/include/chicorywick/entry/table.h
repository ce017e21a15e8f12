#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/http/transfer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

using Version = std::int64_t;

/// @brief Largest value of a row. Larger ones can never be stored.
inline constexpr std::size_t kMaxRowBytes = 65'536;

/// @brief Identifies a row. One transaction can change rows of one part, also in several tables.
struct RowKey
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

struct Row
{
    RowKey key;
    std::string value;
    Version version = 0;
    bool isRemoved = false;

    bool operator==(const Row &) const = default;
};

struct RowCondition
{
    RowKey key;
    Version version = 0; ///< 0: the row must not exist

    bool operator==(const RowCondition &) const = default;
};

struct RowWrite
{
    RowKey key;
    std::string value;

    bool operator==(const RowWrite &) const = default;
};

/// @brief An atomic change; all rows belong to one part.
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowKey> removals;

    bool operator==(const Transaction &) const = default;
};

struct TransactionResult
{
    bool isCommitted = false;
    Version version = 0;      ///< of the rows written
    std::vector<Row> current; ///< of the rows in the conditions, if not committed

    bool operator==(const TransactionResult &) const = default;
};

struct RowRange
{
    std::string table;
    std::string part;
    std::string from; ///< first key
    std::string to;   ///< first key after the range; empty: no upper bound
    int limit = 500;

    bool operator==(const RowRange &) const = default;
};

struct RowPage
{
    std::vector<Row> rows;
    bool hasMore = false; ///< rows of the range, or changes up to now, can be missing
    Version version = 0;  ///< up to which the page is complete

    bool operator==(const RowPage &) const = default;
};

template <typename T>
using Callback = std::function<void(base::Result<T>)>;

/// @brief How rows are read. A time limit alone suffices for most readers.
struct ReadOptions
{
    ReadOptions(std::chrono::milliseconds limit, http::TransferPointer progress = {})
        : timeout(limit)
        , transfer(std::move(progress))
    {}

    std::chrono::milliseconds timeout;
    http::TransferPointer transfer; ///< progress of the answers; may be null
};

/// @brief Requests the changes after a version.
struct WatchRequest
{
    Version after = 0;
    std::chrono::milliseconds wait{0}; ///< for a change if there is none
    http::TransferPointer transfer;    ///< progress of the answer; may be null
};

/// @brief The platform's transactional table. The time limit of a read applies until its answer
/// begins; from then on, the answer is given up only if no further part arrives. Errors:
/// PlatformUnavailable and RateLimited (the call had no effect), PlatformUnknownOutcome (it may
/// have taken effect, or may still do so), HistoryUnavailable.
class Table
{
public:
    virtual ~Table() = default;

    virtual void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                          Callback<TransactionResult> done) = 0;
    virtual void read(const RowRange &range, const ReadOptions &options,
                      Callback<RowPage> done) = 0;

    /// @brief Returns the changed rows of a table in order, as soon as there is one.
    virtual void watch(const std::string &table, const WatchRequest &request,
                       Callback<RowPage> done) = 0;
};

/// @brief Reads all pages of a range; the version is that of the first page.
void readAll(Table &table, const RowRange &range, const ReadOptions &options,
             const Callback<RowPage> &done);

/// @brief The range that holds only this row.
RowRange rangeOf(const RowKey &key);

/// @brief A callback for fire-and-forget writes; logs a failure with the name of the call.
Callback<TransactionResult> logFailureOf(const char *call);

} // namespace chicorywick::entry
