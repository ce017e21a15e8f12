#include "controller_impl.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kReadTimeout = 2000ms;
// Parts of the jobs table that are read at the same time. A slow store takes as long for all of
// them as for one; the pages of all parts at once would be much for a small machine.
constexpr int kParallelReads = 8;

} // namespace

// The parts of the jobs table that are still to be read, and the oldest version of those that were.
struct Controller::Impl::JobsLoad
{
    int nextPart = 0;
    int openParts = 0;
    std::optional<Version> version;
};

void Controller::Impl::loadMachines()
{
    if (!ledger_)
        return loadRows();
    ledger_->load([self = shared_from_this()] {
        if (!self->isStopped_)
            self->loadRows();
    });
}

// The jobs need the progress, and nothing else an order.
void Controller::Impl::loadRows()
{
    constexpr int kRanges = 3;
    const auto done = [self = shared_from_this(), open = std::make_shared<int>(kRanges)] {
        if (--*open == 0)
            self->loadJobs();
    };
    loadRange(
            rows_.waveRange(), [this](const Row &row) { waves_->restore(row); }, done);
    loadRange(
            rows_.rosterRange(), [this](const Row &row) { roster_->applyStored(row); }, done);
    loadRange(
            rows_.progressRange(), [this](const Row &row) { applyProgressRow(row); }, done);
}

void Controller::Impl::loadRange(const RowRange &range, std::function<void(const Row &)> apply,
                                 std::function<void()> done)
{
    readAll(*ports_.table, range, kReadTimeout,
            [self = shared_from_this(), range, apply = std::move(apply),
             done = std::move(done)](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause(
                            [self, range, apply, done] { self->loadRange(range, apply, done); });
                for (const Row &row : page.value().rows)
                    apply(row);
                done();
            });
}

void Controller::Impl::applyProgressRow(const Row &row)
{
    const auto progress = decodeProgress(row.value);
    journal_->applyStored(row.key.key, row.version);
    if (progress)
        loadedProgress_.insert_or_assign(row.key.key, progress.value());
    else
        base::logEvent(base::Event::PlatformUnreachable, {{"call", "load-progress"},
                                                          {"job", row.key.key},
                                                          {"reason", progress.error().message}});
}

void Controller::Impl::loadJobs()
{
    jobsLoadBegunAt_ = hooks_.clock().steady;
    const auto load = std::make_shared<JobsLoad>();
    load->openParts = rows_.jobParts();
    for (int i = 0; i < kParallelReads; ++i)
        loadNextJobs(load);
}

void Controller::Impl::loadNextJobs(const std::shared_ptr<JobsLoad> &load)
{
    if (load->nextPart < rows_.jobParts())
        loadJobsOf(load->nextPart++, load);
}

void Controller::Impl::loadJobsOf(int part, const std::shared_ptr<JobsLoad> &load)
{
    readAll(*ports_.table, {.table = rows_.jobsTable(), .part = rows_.jobPart(part)}, kReadTimeout,
            [self = shared_from_this(), part, load](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause(
                            [self, part, load] { self->loadJobsOf(part, load); });
                // The watch starts at the oldest version of all reads, so that it misses no row.
                const Version version = page.value().version;
                load->version = std::min(load->version.value_or(version), version);
                self->applyJobRows(page.value().rows);
                if (--load->openParts == 0)
                    return self->finishJobs(*load->version);
                self->loadNextJobs(load);
            });
}

void Controller::Impl::finishJobs(Version version)
{
    jobsVersion_ = version;
    jobsWatch_->recordRead(jobsLoadBegunAt_);
    if (isLoaded_)
        return jobsWatch_->resume(jobsVersion_);
    loadNewRows();
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
