#pragma once

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/table.h>

#include <memory>
#include <string>

namespace chicorywick::entry {

/// @brief Counters and latency histograms of an entry instance. Everything that is logged is
/// counted here, also the lines that the log leaves out; docs/OPERATIONS.md lists the names.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void observe(base::Event event, std::initializer_list<base::LogField> fields);
    void observeStoreCall(const char *call, const char *result, double seconds);

    /// @brief The exposition text.
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

/// @brief Measures the calls of a store.
class InstrumentedTable : public Table
{
public:
    InstrumentedTable(Table &store, Metrics &metrics)
        : store_(store)
        , metrics_(metrics)
    {}

    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done) override;
    void read(const RowRange &range, std::chrono::milliseconds timeout,
              Callback<RowPage> done) override;
    void watch(const std::string &table, Version after, std::chrono::milliseconds wait,
               Callback<RowPage> done) override;

private:
    template <typename T>
    Callback<T> instrumented(const char *call, Callback<T> done);

    Table &store_;
    Metrics &metrics_;
};

} // namespace chicorywick::entry
