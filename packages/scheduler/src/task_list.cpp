#include <chicorywick/scheduler/task_list.h>

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

const std::shared_ptr<const Task> &blockedTask()
{
    static const auto kTask = std::make_shared<const Task>();
    return kTask;
}

const std::shared_ptr<const Task> &readyTask()
{
    static const auto kTask = std::make_shared<const Task>(Task{.phase = TaskPhase::Ready});
    return kTask;
}

const Task &doneTask()
{
    static const Task kTask{.phase = TaskPhase::Done};
    return kTask;
}

// Earlier runs of a task count also after its end, for instance when another leader's progress is
// merged.
bool hasRecord(const Task &task)
{
    return !task.worker.empty() || !task.failedRuns.empty() || !task.crashes.empty();
}

} // namespace

TaskList::TaskList(int size)
    : size_(size)
    , untouched_(blockedTask())
{}

const Task &TaskList::operator[](int index) const
{
    if (const auto found = edited_.find(index); found != edited_.end())
        return found->second;
    return done_.contains(index) ? doneTask() : *untouched_;
}

Task &TaskList::edit(int index)
{
    const auto found = edited_.find(index);
    if (found != edited_.end())
        return found->second;
    Task &task = edited_.emplace(index, (*this)[index]).first->second;
    done_.erase(index);
    return task;
}

void TaskList::unblock(Millis steady)
{
    const auto unblockTask = [steady](Task &task) {
        if (task.phase != TaskPhase::Blocked)
            return;
        task.phase = TaskPhase::Ready;
        task.phaseSince = steady;
    };
    if (untouched_->phase == TaskPhase::Blocked)
        untouched_ = steady == 0 ? readyTask()
                                 : std::make_shared<const Task>(
                                         Task{.phase = TaskPhase::Ready, .phaseSince = steady});
    for (auto &[index, task] : edited_)
        unblockTask(task);
}

void TaskList::finish(int index, Millis steady)
{
    Task &task = edit(index);
    task.phase = TaskPhase::Done;
    task.phaseSince = steady;
    if (hasRecord(task))
        return;
    edited_.erase(index);
    done_.insert(index);
}

IndexSet TaskList::ready() const
{
    IndexSet indices;
    if (untouched_->phase == TaskPhase::Ready) {
        indices = IndexSet::below(size_);
        for (const auto &[first, end] : done_.runs())
            for (int index = first; index < end; ++index)
                indices.erase(index);
    }
    for (const auto &[index, task] : edited_) {
        if (task.phase == TaskPhase::Ready)
            indices.insert(index);
        else
            indices.erase(index);
    }
    return indices;
}

IndexSet TaskList::done() const
{
    IndexSet indices = done_;
    for (const auto &[index, task] : edited_)
        if (task.phase == TaskPhase::Done)
            indices.insert(index);
    return indices;
}

int TaskList::waitingCount() const
{
    const auto active = std::count_if(edited_.begin(), edited_.end(), [](const auto &item) {
        return item.second.phase == TaskPhase::Done || !item.second.worker.empty();
    });
    return size_ - static_cast<int>(done_.size()) - static_cast<int>(active);
}

} // namespace chicorywick::scheduler
