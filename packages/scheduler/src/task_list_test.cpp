#include <chicorywick/base/rng.h>
#include <chicorywick/scheduler/task_list.h>

#include <doctest/doctest.h>

#include <set>

namespace chicorywick::scheduler {

// Guards against runs of indices that overlap, or stay apart although they touch.
TEST_CASE("an index set holds the same indices as an ordinary set")
{
    base::Rng rng(7);
    IndexSet set;
    std::set<int> expected;
    for (int step = 0; step < 5'000; ++step) {
        const int index = static_cast<int>(rng.below(60));
        switch (rng.below(4)) {
        case 0:
            CHECK(set.erase(index) == (expected.erase(index) > 0));
            break;
        case 1: {
            IndexSet other;
            for (int next = index; next < index + 4; ++next) {
                other.insert(next);
                expected.insert(next);
            }
            set.merge(other);
            break;
        }
        default:
            CHECK(set.insert(index) == expected.insert(index).second);
        }
        std::set<int> found;
        for (auto next = set.next(-1); next; next = set.next(*next))
            found.insert(*next);
        CHECK(found == expected);
        CHECK(set.size() == expected.size());
        int before = -2;
        for (const auto &[first, end] : set.runs()) {
            CHECK(first > before);
            before = end;
        }
    }
}

// Guards against a list that takes memory for each task, and against one that forgets what has
// happened to a task.
TEST_CASE("tasks take memory of their own only while something is known of them")
{
    TaskList tasks(10'000);
    CHECK(tasks.ready().empty());
    tasks.unblock(5);
    CHECK(tasks.ready() == IndexSet::below(10'000));
    CHECK(tasks[9'999].phaseSince == 5);
    CHECK(tasks.edited().empty());

    tasks.edit(3).worker = "w";
    tasks.edit(3).phase = TaskPhase::Running;
    CHECK(tasks.waitingCount() == 9'999);
    CHECK(!tasks.ready().contains(3));
    tasks.edit(3).worker.clear();
    tasks.finish(3, 6);
    CHECK(tasks.edited().empty());
    CHECK(tasks[3].phase == TaskPhase::Done);

    tasks.edit(4).failedRuns = {1};
    tasks.finish(4, 6);
    CHECK(tasks[4].failedRuns.size() == 1);
    CHECK(tasks.done() == IndexSet{3, 4});
    CHECK(tasks.ready().size() == 9'998);
    CHECK(tasks.waitingCount() == 9'998);
}

} // namespace chicorywick::scheduler
