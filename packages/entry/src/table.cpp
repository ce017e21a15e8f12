#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/table.h>

#include <memory>

namespace chicorywick::entry {

namespace {

void readNext(Table &table, const RowRange &range, const ReadOptions &options,
              const std::shared_ptr<RowPage> &collected, const Callback<RowPage> &done)
{
    table.read(range, options,
               [&table, range, options, collected, done](base::Result<RowPage> page) {
                   if (!page)
                       return done(page.error());
                   const bool isFirst = collected->version == 0;
                   if (isFirst)
                       collected->version = page.value().version;
                   for (Row &row : page.value().rows)
                       collected->rows.push_back(std::move(row));
                   if (!page.value().hasMore || collected->rows.empty())
                       return done(std::move(*collected));
                   RowRange next = range;
                   // The smallest key after the last one that was read.
                   next.from = collected->rows.back().key.key + '\x01';
                   readNext(table, next, options, collected, done);
               });
}

} // namespace

void readAll(Table &table, const RowRange &range, const ReadOptions &options,
             const Callback<RowPage> &done)
{
    readNext(table, range, options, std::make_shared<RowPage>(), done);
}

RowRange rangeOf(const RowKey &key)
{
    return {.table = key.table,
            .part = key.part,
            .from = key.key,
            .to = key.key + '\x01',
            .limit = 1};
}

Callback<TransactionResult> logFailureOf(const char *call)
{
    return [call](const base::Result<TransactionResult> &result) {
        if (!result)
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", call}, {"reason", result.error().message}});
    };
}

} // namespace chicorywick::entry
