#pragma once

#include <chicorywick/scheduler/index_set.h>
#include <chicorywick/scheduler/task.h>

#include <map>
#include <memory>

namespace chicorywick::scheduler {

/// @brief The tasks of a step. Tasks that nothing has happened to, and those that are done, take no
/// memory of their own.
class TaskList
{
public:
    explicit TaskList(int size);

    int size() const { return size_; }
    const Task &operator[](int index) const;

    /// @brief Gives a task memory of its own, and returns it.
    Task &edit(int index);

    /// @brief Tasks with memory of their own, by index. All others are done or wait, without a
    /// worker and without a record of earlier runs.
    const std::map<int, Task> &edited() const { return edited_; }
    std::map<int, Task> &edited() { return edited_; }

    /// @brief Makes all blocked tasks ready.
    void unblock(Millis steady);

    /// @brief Marks a task done.
    void finish(int index, Millis steady);

    IndexSet ready() const;
    IndexSet done() const;

    /// @brief Number of tasks that are not done and have no worker.
    int waitingCount() const;

private:
    int size_;
    std::shared_ptr<const Task> untouched_; ///< state of the tasks that are neither edited nor done
    std::map<int, Task> edited_;
    IndexSet done_; ///< done and not edited
};

} // namespace chicorywick::scheduler
