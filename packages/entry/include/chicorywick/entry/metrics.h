#pragma once

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/table.h>

#include <memory>
#include <string>

namespace chicorywick::entry {

/// @brief Counters and latency histograms of an entry instance. Every logged event is counted,
/// including lines that the log drops; docs/OPERATIONS.md lists the metrics.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void observe(base::Event event, std::initializer_list<base::LogField> fields);
    void observeStoreCall(const char *call, const char *result, double seconds);

    /// @brief All metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

/// @brief Forwards to a store and records the duration and result of each call.
class InstrumentedTable : public Table
{
public:
    InstrumentedTable(Table &store, Metrics &metrics)
        : store_(store)
        , metrics_(metrics)
    {}

    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done) override;
    void read(const RowRange &range, const ReadOptions &options, Callback<RowPage> done) override;
    void watch(const std::string &table, const WatchRequest &request,
               Callback<RowPage> done) override;

private:
    template <typename T>
    Callback<T> instrumented(const char *call, Callback<T> done);

    Table &store_;
    Metrics &metrics_;
};

} // namespace chicorywick::entry
