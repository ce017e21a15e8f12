#include "cell_layout_source.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kReadTimeout = 1000ms;
constexpr auto kWriteTimeout = 1000ms;
// A machine with this much memory plans after planDelayMs, a smaller one later.
constexpr double kTypicalMemoryMib = 512;
constexpr double kMinDelayFactor = 0.25;
constexpr double kMaxDelayFactor = 4;

} // namespace

CellLayoutSource::CellLayoutSource(ControllerPorts ports, std::function<scheduler::Now()> clock,
                                   base::Rng &rng, CellLayoutSettings settings)
    : ports_(ports)
    , clock_(std::move(clock))
    , settings_(settings)
    , startedAt_(clock_().steady)
{
    double factor = 1;
    if (settings_.memoryMib > 0)
        factor = std::clamp(kTypicalMemoryMib / static_cast<double>(settings_.memoryMib),
                            kMinDelayFactor, kMaxDelayFactor);
    planAt_ = startedAt_
              + static_cast<scheduler::Millis>(static_cast<double>(settings_.planDelayMs) * factor)
              + static_cast<scheduler::Millis>(
                      rng.below(static_cast<std::uint64_t>(settings_.planJitterMs)));
}

void CellLayoutSource::start(std::function<void(const CellLayout &)> done)
{
    done_ = std::move(done);
    load();
}

// The callback refers to objects that own this one, so it is released with its only call.
void CellLayoutSource::finish(const CellLayout &layout)
{
    const auto done = std::exchange(done_, {});
    done(layout);
}

void CellLayoutSource::pollLater()
{
    auto timer = std::make_shared<boost::asio::steady_timer>(
            *ports_.loop, std::chrono::milliseconds(settings_.pollMs));
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &error) {
        if (!error)
            self->load();
    });
}

void CellLayoutSource::load()
{
    ports_.table->read(rangeOf(layout::cellLayoutRow()), kReadTimeout,
                       [self = shared_from_this()](const base::Result<RowPage> &page) {
                           if (!page)
                               return self->pollLater();
                           if (page.value().rows.empty()) {
                               if (self->clock_().steady < self->planAt_)
                                   return self->pollLater();
                               return self->countMachines();
                           }
                           const auto layout = decodeCellLayout(page.value().rows[0].value);
                           if (layout)
                               return self->finish(layout.value());
                           base::logEvent(
                                   base::Event::PlatformUnreachable,
                                   {{"call", "load-cells"}, {"reason", layout.error().message}});
                           self->pollLater();
                       });
}

void CellLayoutSource::countMachines()
{
    ports_.machines->list([self = shared_from_this()](
                                  const base::Result<std::vector<Machine>> &list) {
        if (!list)
            return self->countWorkers();
        std::vector<CellMachine> machines;
        for (const Machine &machine : list.value())
            machines.push_back({.rack = machine.rack, .pool = machine.pool, .zone = machine.zone});
        self->handleCount(std::move(machines));
    });
}

// Without the machine control, machines that run no worker stay out of the plan; their racks are
// then assigned by hash.
void CellLayoutSource::countWorkers()
{
    ports_.discovery->load([self = shared_from_this()](const base::Result<WorkerList> &list) {
        if (!list)
            return self->pollLater();
        std::vector<CellMachine> machines;
        for (const scheduler::WorkerEntry &worker : list.value().present)
            machines.push_back({.rack = rackOf(worker.labels, worker.machine),
                                .pool = worker.service,
                                .zone = worker.zone});
        self->handleCount(std::move(machines));
    });
}

// The fleet may still be starting, so the layout is made once two counts agree.
void CellLayoutSource::handleCount(std::vector<CellMachine> machines)
{
    const bool isEmptyForLong =
            machines.empty() && clock_().steady - startedAt_ >= settings_.emptyFleetMs;
    const bool isStable = !machines.empty() && machines.size() == lastCount_;
    lastCount_ = machines.size();
    if (!isStable && !isEmptyForLong)
        return pollLater();
    store(planCells(machines, settings_.machinesPerCell));
}

void CellLayoutSource::store(const CellLayout &layout)
{
    const RowKey key = layout::cellLayoutRow();
    ports_.table->transact(
            {.conditions = {{.key = key, .version = 0}},
             .writes = {{.key = key, .value = encode(layout)}}},
            kWriteTimeout,
            [self = shared_from_this(), layout](const base::Result<TransactionResult> &result) {
                if (!result || !result.value().isCommitted)
                    return self->pollLater();
                base::logEvent(base::Event::CellsPlanned,
                               {{"cells", std::to_string(layout.count())},
                                {"machines", std::to_string(self->lastCount_)}});
                self->finish(layout);
            });
}

} // namespace chicorywick::entry
