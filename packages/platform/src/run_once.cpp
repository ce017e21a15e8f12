#include "chicorywick/v1/operation.pb.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/unique_id.h>
#include <chicorywick/platform/run_once.h>

namespace chicorywick::platform {

namespace {

// Each conflict means that another writer made progress, so a few retries outlast usual contention.
constexpr int kMaxTries = 8;

base::Result<void> checkRequestId(const std::string &id)
{
    if (id.empty() || id.size() > kMaxRequestIdLength)
        return base::makeError(base::Code::InvalidArgument,
                               "request_id must have 1 to " + std::to_string(kMaxRequestIdLength)
                                       + " characters");
    return base::ok();
}

base::Result<std::uint64_t> replay(const Row &row, const v1::OperationRow &expected,
                                   google::protobuf::Message &response)
{
    v1::OperationRow recorded;
    if (!recorded.ParseFromString(row.value))
        return base::makeError(base::Code::PlatformMalformedResponse, row.key);
    if (recorded.method() != expected.method()
        || recorded.request_digest() != expected.request_digest())
        return base::makeError(base::Code::RequestIdReused, recorded.method());
    if (!response.ParseFromString(recorded.response()))
        return base::makeError(base::Code::PlatformMalformedResponse, row.key);
    return row.version;
}

} // namespace

base::Result<std::uint64_t> runOnce(const Table &table, const base::Clock &clock,
                                    const Operation &operation, google::protobuf::Message &response,
                                    const PrepareOperation &prepare)
{
    BOOST_OUTCOME_TRYV(checkRequestId(operation.requestId));
    const std::string key = "op/" + operation.requestId;
    v1::OperationRow record;
    record.set_method(operation.method);
    record.set_request_digest(base::digestHex(operation.request.SerializeAsString()));

    base::Result<std::uint64_t> result = base::makeError(base::Code::TableConflict);
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
        BOOST_OUTCOME_TRY(row, table.get(key));
        if (row)
            return replay(*row, record, response);
        response.Clear();
        auto prepared = prepare(response);
        if (!prepared) {
            // An earlier call with this id may have been applied since the first read and may be
            // the reason for which prepare() fails.
            BOOST_OUTCOME_TRY(late, table.get(key));
            if (late)
                return replay(*late, record, response);
            return prepared.error();
        }
        Transaction transaction = std::move(prepared).value();
        record.set_response(response.SerializeAsString());
        record.set_recorded_at_ms(base::toMillis(clock.now()));
        transaction.writer = base::uniqueId();
        transaction.conditions.push_back({key, 0});
        transaction.puts.push_back({key, record.SerializeAsString()});
        result = commitResolved(table, transaction);
        if (result || result.error().code != base::Code::TableConflict)
            return result;
    }
    return base::makeError(base::Code::VersionConflict, result.error().message);
}

base::Result<std::string> removeExpiredOperations(const Table &table, const base::Clock &clock,
                                                  const std::string &after, std::uint32_t rows)
{
    BOOST_OUTCOME_TRY(page, table.scan("op/", after, rows));
    Transaction removal;
    removal.writer = base::uniqueId();
    const std::int64_t oldest = base::toMillis(clock.now() - kOperationRetention);
    for (const Row &row : page.rows) {
        v1::OperationRow record;
        if (removal.deletes.size() * 2 + 2 > kMaxTransactionOperations)
            break;
        if (record.ParseFromString(row.value) && record.recorded_at_ms() < oldest) {
            removal.conditions.push_back({row.key, row.version});
            removal.deletes.push_back(row.key);
        }
    }
    // A lost response needs no retry: the next pass finds the remaining rows.
    if (!removal.deletes.empty()) {
        BOOST_OUTCOME_TRYV(table.commit(removal));
    }
    return page.more ? page.rows.back().key : std::string();
}

} // namespace chicorywick::platform
