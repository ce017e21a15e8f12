#include "chicorywick/v1/platform.pb.h"

#include <chicorywick/base/overloaded.h>
#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/platform/table.h>

#include <algorithm>

namespace chicorywick::platform {

namespace {

constexpr const char *kService = "chicorywick.v1.TableService";

Row toRow(const v1::TableRow &row)
{
    return Row{row.key(), row.value(), row.version(), row.writer()};
}

v1::CommitRequest toRequest(const Transaction &transaction)
{
    v1::CommitRequest request;
    request.set_writer(transaction.writer);
    for (const Condition &condition : transaction.conditions) {
        v1::TableCondition *added = request.add_conditions();
        added->set_key(condition.key);
        added->set_version(condition.version);
    }
    for (const Put &put : transaction.puts) {
        v1::TablePut *added = request.add_puts();
        added->set_key(put.key);
        added->set_value(put.value);
    }
    for (const std::string &key : transaction.deletes)
        request.add_deletes(key);
    return request;
}

// Only this transaction writes its token into a row, so such a row proves that a try was applied.
base::Result<std::optional<std::uint64_t>> findOwnWrite(const Table &table,
                                                        const Transaction &transaction)
{
    for (const Put &put : transaction.puts) {
        BOOST_OUTCOME_TRY(row, table.get(put.key));
        if (row && row->writer == transaction.writer)
            return std::optional<std::uint64_t>(row->version);
    }
    return std::optional<std::uint64_t>();
}

} // namespace

base::Result<std::optional<Row>> Table::get(const std::string &key) const
{
    using Outcome = base::Result<std::optional<Row>>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::GetRowRequest request;
                                           request.set_key(key);
                                           BOOST_OUTCOME_TRY(response,
                                                             client.call<v1::GetRowResponse>(
                                                                     kService, "Get", request));
                                           if (!response.found())
                                               return std::optional<Row>();
                                           return std::optional<Row>(toRow(response.row()));
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->getRow(memory.zone, key);
                                       }},
                      backend_);
}

base::Result<ScanPage> Table::scan(const std::string &prefix, const std::string &after,
                                   std::uint32_t limit) const
{
    using Outcome = base::Result<ScanPage>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::ScanRequest request;
                                           request.set_prefix(prefix);
                                           request.set_after(after);
                                           request.set_limit(limit);
                                           BOOST_OUTCOME_TRY(response,
                                                             client.call<v1::ScanResponse>(
                                                                     kService, "Scan", request));
                                           ScanPage page;
                                           for (const v1::TableRow &row : response.rows())
                                               page.rows.push_back(toRow(row));
                                           page.more = response.more();
                                           return page;
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->scanRows(memory.zone, prefix,
                                                                            after, limit);
                                       }},
                      backend_);
}

base::Result<std::vector<Row>> Table::scanAll(const std::string &prefix, std::size_t bound) const
{
    std::vector<Row> rows;
    std::string after;
    while (rows.size() < bound) {
        BOOST_OUTCOME_TRY(page, scan(prefix, after, kMaxScanRows));
        std::move(page.rows.begin(), page.rows.end(), std::back_inserter(rows));
        if (!page.more || rows.empty())
            break;
        after = rows.back().key;
    }
    if (rows.size() > bound)
        rows.resize(bound);
    return rows;
}

base::Result<std::uint64_t> Table::commit(const Transaction &transaction) const
{
    using Outcome = base::Result<std::uint64_t>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           BOOST_OUTCOME_TRY(response,
                                                             client.call<v1::CommitResponse>(
                                                                     kService, "Commit",
                                                                     toRequest(transaction)));
                                           return response.version();
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->commit(memory.zone, transaction);
                                       }},
                      backend_);
}

base::Result<std::uint64_t> commitResolved(const Table &table, const Transaction &transaction,
                                           int maxTries)
{
    bool mayBeApplied = false;
    base::Result<std::uint64_t> result = base::makeError(base::Code::PlatformUnavailable);
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        result = table.commit(transaction);
        if (result)
            return result;
        if (result.error().code == base::Code::PlatformUnknownOutcome) {
            mayBeApplied = true;
            continue;
        }
        if (!mayBeApplied)
            return result;
        if (result.error().code != base::Code::TableConflict)
            continue;
        const auto own = findOwnWrite(table, transaction);
        if (own && own.value())
            return *own.value();
        if (own)
            break;
    }
    if (mayBeApplied)
        return base::makeError(base::Code::PlatformUnknownOutcome, "commit " + transaction.writer);
    return result;
}

} // namespace chicorywick::platform
