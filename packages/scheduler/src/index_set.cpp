#include <chicorywick/scheduler/index_set.h>

#include <algorithm>
#include <iterator>

namespace chicorywick::scheduler {

IndexSet IndexSet::below(int end)
{
    IndexSet set;
    if (end > 0)
        set.insertRun(0, end);
    return set;
}

bool IndexSet::contains(int index) const
{
    const auto after = runs_.upper_bound(index);
    return after != runs_.begin() && index < std::prev(after)->second;
}

std::optional<int> IndexSet::next(int after) const
{
    if (contains(after + 1))
        return after + 1;
    const auto run = runs_.upper_bound(after);
    return run != runs_.end() ? std::optional(run->first) : std::nullopt;
}

bool IndexSet::insert(int index)
{
    if (contains(index))
        return false;
    insertRun(index, index + 1);
    return true;
}

bool IndexSet::erase(int index)
{
    if (!contains(index))
        return false;
    const auto run = std::prev(runs_.upper_bound(index));
    const int end = run->second;
    if (run->first == index)
        runs_.erase(run);
    else
        run->second = index;
    if (index + 1 < end)
        runs_.emplace(index + 1, end);
    --size_;
    return true;
}

void IndexSet::merge(const IndexSet &other)
{
    for (const auto &[first, end] : other.runs_)
        insertRun(first, end);
}

// Joins the run with those that it overlaps or touches.
void IndexSet::insertRun(int first, int end)
{
    auto run = runs_.upper_bound(first);
    if (run != runs_.begin() && std::prev(run)->second >= first)
        --run;
    while (run != runs_.end() && run->first <= end) {
        first = std::min(first, run->first);
        end = std::max(end, run->second);
        size_ -= static_cast<std::size_t>(run->second - run->first);
        run = runs_.erase(run);
    }
    runs_.emplace(first, end);
    size_ += static_cast<std::size_t>(end - first);
}

} // namespace chicorywick::scheduler
