#include "controller_impl.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kReadTimeout = 2000ms;

} // namespace

void Controller::Impl::loadMachines()
{
    if (!ledger_)
        return loadWaves();
    ledger_->load([self = shared_from_this()] {
        if (!self->isStopped_)
            self->loadWaves();
    });
}

void Controller::Impl::loadWaves()
{
    readAll(*ports_.table, rows_.waveRange(), kReadTimeout,
            [self = shared_from_this()](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause([self] { self->loadWaves(); });
                for (const Row &row : page.value().rows)
                    self->waves_->restore(row);
                self->loadRoster();
            });
}

void Controller::Impl::loadRoster()
{
    readAll(*ports_.table, rows_.rosterRange(), kReadTimeout,
            [self = shared_from_this()](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause([self] { self->loadRoster(); });
                for (const Row &row : page.value().rows)
                    self->roster_->applyStored(row);
                self->loadProgress();
            });
}

void Controller::Impl::loadProgress()
{
    readAll(*ports_.table, rows_.progressRange(), kReadTimeout,
            [self = shared_from_this()](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause([self] { self->loadProgress(); });
                for (const Row &row : page.value().rows) {
                    const auto progress = decodeProgress(row.value);
                    self->journal_->applyStored(row.key.key, row.version);
                    if (progress)
                        self->loadedProgress_.insert_or_assign(row.key.key, progress.value());
                    else
                        base::logEvent(base::Event::PlatformUnreachable,
                                       {{"call", "load-progress"},
                                        {"job", row.key.key},
                                        {"reason", progress.error().message}});
                }
                self->loadJobs(0);
            });
}

void Controller::Impl::loadJobs(int part)
{
    if (part == 0)
        jobsLoadBegunAt_ = hooks_.clock().steady;
    if (part == rows_.jobParts()) {
        jobsWatch_->recordRead(jobsLoadBegunAt_);
        if (isLoaded_)
            return jobsWatch_->resume(jobsVersion_);
        return loadNewRows();
    }
    readAll(*ports_.table, {.table = rows_.jobsTable(), .part = rows_.jobPart(part)}, kReadTimeout,
            [self = shared_from_this(), part](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause([self, part] { self->loadJobs(part); });
                // The watch starts at the oldest version of all reads, so that it misses no row.
                const Version version = page.value().version;
                self->jobsVersion_ = part == 0 ? version : std::min(self->jobsVersion_, version);
                self->applyJobRows(page.value().rows);
                self->loadJobs(part + 1);
            });
}

// Reading all parts takes seconds on a small machine. A cancellation that was stored meanwhile must
// be known before tasks start.
void Controller::Impl::loadNewRows()
{
    ports_.table->watch(rows_.jobsTable(), {.after = jobsVersion_},
                        [self = shared_from_this(),
                         requestedAt = hooks_.clock().steady](const base::Result<RowPage> &page) {
                            if (self->isStopped_)
                                return;
                            // After a failure, the watch that follows the load reads the rows; no
                            // task starts until then if the rows that were read are too old.
                            if (page) {
                                self->applyJobRows(page.value().rows);
                                self->jobsVersion_ =
                                        std::max(self->jobsVersion_, page.value().version);
                            }
                            if (page && page.value().hasMore)
                                return self->loadNewRows();
                            if (page)
                                self->jobsWatch_->recordRead(requestedAt);
                            self->loadWorkers();
                        });
}

void Controller::Impl::loadWorkers()
{
    ports_.discovery->load([self = shared_from_this(), requestedAt = hooks_.clock().steady](
                                   const base::Result<WorkerList> &list) {
        if (self->isStopped_)
            return;
        if (!list)
            return self->retryAfterPause([self] { self->loadWorkers(); });
        if (!self->isLoaded_) {
            std::vector<scheduler::WorkerEntry> inherited = self->roster_->loaded();
            // An order with this leader's fencing token would take the worker from its new cell.
            std::erase_if(inherited, [&self](const scheduler::WorkerEntry &entry) {
                return self->ledger_ && self->ledger_->hasLeft(entry.machine);
            });
            self->scheduler_.addInheritedWorkers(inherited);
        }
        self->applyWorkers(list.value(), true);
        self->workersWatch_->recordRead(requestedAt);
        if (!self->isLoaded_)
            self->finishLoading();
        self->workersWatch_->resume(list.value().version);
    });
}

void Controller::Impl::finishLoading()
{
    isLoaded_ = true;
    loadedProgress_.clear();
    applyUsedServices();
    base::logEvent(base::Event::LeadershipReady,
                   {{"cell", std::to_string(cell_.number)},
                    {"workers", std::to_string(scheduler_.roster().size())}});
    roster_->update();
    jobsWatch_->resume(jobsVersion_);
    scheduleTick();
}

} // namespace chicorywick::entry
