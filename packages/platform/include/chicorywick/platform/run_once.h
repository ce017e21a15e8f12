#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>

#include <google/protobuf/message.h>

#include <functional>
#include <memory>

namespace chicorywick::platform {

/// @brief Longest request id of a mutating operator call.
constexpr std::size_t kMaxRequestIdLength = 64;

/// @brief A mutating call: its name, request and request id.
struct Operation
{
    std::string method;
    std::string requestId;
    const google::protobuf::Message &request;
};

/// @brief Reads the current rows, fills in the response and gives the transaction that carries the
/// call out.
using PrepareOperation =
        std::function<base::Result<Transaction>(google::protobuf::Message &response)>;

/// @brief Carries out a mutating call at most once per request id.
///
/// A repeat gets the first response. The value is the version of the rows that the call put. A
/// transaction that loses a race is prepared again, unless prepare() itself fails; prepare() checks
/// versions that the operator named.
base::Result<std::uint64_t> runOnce(const Table &table, const base::Clock &clock,
                                    const Operation &operation, google::protobuf::Message &response,
                                    const PrepareOperation &prepare);

/// @brief Time for which the results of mutating calls are kept for repeats.
constexpr base::Duration kOperationRetention = std::chrono::hours(24);

/// @brief Deletes the records of calls past their retention among the next rows; the value is the
/// key to continue after, empty at the end.
base::Result<std::string> removeExpiredOperations(const Table &table, const base::Clock &clock,
                                                  const std::string &after, std::uint32_t rows);

} // namespace chicorywick::platform
