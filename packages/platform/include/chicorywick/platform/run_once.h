#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>

#include <google/protobuf/message.h>

#include <functional>
#include <memory>

namespace chicorywick::platform {

/// @brief Longest request id of a mutating operator call.
constexpr std::size_t kMaxRequestIdLength = 64;

/// @brief A mutating operator call.
struct Operation
{
    std::string method;
    std::string requestId;
    const google::protobuf::Message &request;
};

/// @brief Reads the current rows, fills in the response and returns the transaction that applies
/// the call.
using PrepareOperation =
        std::function<base::Result<Transaction>(google::protobuf::Message &response)>;

/// @brief Executes a mutating call at most once per request id.
///
/// A repeat returns the first response. The value is the version of the rows that the call put.
/// After a conflict with another writer, prepare() runs again, until it fails or the retries are
/// used up; prepare() checks an expected version given by the operator.
base::Result<std::uint64_t> runOnce(const Table &table, const base::Clock &clock,
                                    const Operation &operation, google::protobuf::Message &response,
                                    const PrepareOperation &prepare);

/// @brief Time for which the records of mutating calls are kept to answer repeats.
constexpr base::Duration kOperationRetention = std::chrono::hours(24);

/// @brief Scans one page of operation records and deletes those past their retention. The value is
/// the key to continue after, empty at the end.
base::Result<std::string> removeExpiredOperations(const Table &table, const base::Clock &clock,
                                                  const std::string &after, std::uint32_t rows);

} // namespace chicorywick::platform
