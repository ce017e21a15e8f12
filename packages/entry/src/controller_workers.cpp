#include "controller_impl.h"

#include <set>
#include <string>
#include <utility>

namespace chicorywick::entry {

bool Controller::Impl::isOwnWorker(const scheduler::WorkerEntry &entry) const
{
    return inventory_.owns(entry.machine, rackOf(entry.labels, entry.machine))
           && !poolBalancer_->isLeaving(entry);
}

// The watch does not show workers again that joined before their machine belonged to this cell.
void Controller::Impl::addReceivedWorkers()
{
    if (!isLoaded_ || isStopped_)
        return;
    if (isLoadingReceived_) {
        isReceivedLoadDue_ = true;
        return;
    }
    isLoadingReceived_ = true;
    removedMeanwhile_.clear();
    ports_.discovery->load([self = shared_from_this()](const base::Result<WorkerList> &list) {
        if (self->isStopped_)
            return;
        if (!list)
            return self->retryAfterPause([self] {
                self->isLoadingReceived_ = false;
                self->addReceivedWorkers();
            });
        self->isLoadingReceived_ = false;
        self->addUnknownWorkers(list.value());
        if (std::exchange(self->isReceivedLoadDue_, false))
            self->addReceivedWorkers();
    });
}

// Incarnations that are known already, or were removed since the list was requested, are left to
// the watch.
void Controller::Impl::addUnknownWorkers(const WorkerList &list)
{
    std::set<std::pair<std::string, scheduler::Millis>> known;
    for (const scheduler::WorkerEntry &entry : scheduler_.roster())
        known.emplace(entry.id, entry.incarnation);
    for (const scheduler::WorkerEntry &entry : list.present)
        if (isOwnWorker(entry) && !known.contains({entry.id, entry.incarnation})
            && !removedMeanwhile_.contains(entry.id))
            scheduler_.upsertWorker(entry);
    roster_->update();
}

void Controller::Impl::applyWorkers(const WorkerList &list, bool isComplete)
{
    std::set<std::string> present;
    for (const scheduler::WorkerEntry &entry : list.present) {
        if (!isOwnWorker(entry))
            continue;
        present.insert(entry.id);
        scheduler_.upsertWorker(entry);
    }
    for (const std::string &id : list.removed) {
        scheduler_.removeWorker(id);
        if (isLoadingReceived_)
            removedMeanwhile_.insert(id);
    }
    if (isComplete)
        for (const scheduler::WorkerEntry &entry : scheduler_.roster())
            if (!present.contains(entry.id))
                scheduler_.removeWorker(entry.id);
    roster_->update();
}

} // namespace chicorywick::entry
