#pragma once

#include "group_writer.h"

#include <deque>

namespace chicorywick::serving {

/// @brief A claim to be marked abandoned, and the version that its row had before it.
struct Abandonment
{
    Claim claim;
    std::uint64_t versionBefore = 0;
    int tries = 0;
    base::TimePoint due;
};

/// @brief Claims whose holder sent nothing, to be marked so best effort. Bounded; what does not
/// fit is left held, which is safe.
class AbandonmentQueue
{
public:
    void add(Abandonment abandonment);
    /// @brief Takes what is due, up to a number.
    std::vector<Abandonment> takeDue(base::TimePoint now, std::size_t limit);
    /// @brief Adds it again after a delay, unless it has been tried often enough.
    void retry(Abandonment abandonment, base::TimePoint now);
    bool empty() const;

private:
    mutable std::mutex mutex_;
    std::deque<Abandonment> queue_;
};

/// @brief The write that marks the claim, by what its row is now; nothing if the row is not the
/// claim's, or no longer held.
///
/// If the claim's own write may still be on its way, the mark takes the version that it is
/// conditional on, so that it can no longer be applied.
GroupWriter::Write abandonmentWrite(const Abandonment &abandonment,
                                    const std::optional<platform::Row> &row);

} // namespace chicorywick::serving
