#pragma once

#include "group_writer.h"

#include <deque>

namespace chicorywick::serving {

/// @brief A claim to mark as abandoned, and the version of its row before the claim.
struct Abandonment
{
    Claim claim;
    std::uint64_t versionBefore = 0;
    int tries = 0;
    base::TimePoint due;
};

/// @brief Claims whose holder sent nothing, marked as abandoned with best effort. The queue is
/// bounded; a claim that does not fit stays held, which is safe.
class AbandonmentQueue
{
public:
    void add(Abandonment abandonment);
    /// @brief Removes and returns up to `limit` entries that are due.
    std::vector<Abandonment> takeDue(base::TimePoint now, std::size_t limit);
    /// @brief Queues the entry again with a delay, unless it has reached the maximum number of
    /// tries.
    void retry(Abandonment abandonment, base::TimePoint now);
    bool empty() const;

private:
    mutable std::mutex mutex_;
    std::deque<Abandonment> queue_;
};

/// @brief The write that marks the claim as abandoned, based on its current row. Null if the row
/// belongs to another claim or is no longer held.
///
/// If the claim's own write may still be in transit, this write uses the same expected version, so
/// that the claim's write can no longer be applied.
GroupWriter::Write abandonmentWrite(const Abandonment &abandonment,
                                    const std::optional<platform::Row> &row);

} // namespace chicorywick::serving
