#pragma once

#include <chicorywick/scheduler/model.h>

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief The stored cancellations that a leader knows, including those of jobs that are not
/// stored.
class CancellationIndex
{
public:
    /// @brief Adds a cancellation, or renews the time of a known one.
    void add(const std::string &id, scheduler::Millis now);
    bool contains(const std::string &id) const { return addedAt_.contains(id); }
    void erase(const std::string &id) { addedAt_.erase(id); }

    /// @brief Removes and returns cancellations that were added at or before a time and whose job
    /// does not exist.
    std::vector<std::string> takeExpired(scheduler::Millis addedUntil,
                                         const std::function<bool(const std::string &id)> &hasJob);

private:
    std::unordered_map<std::string, scheduler::Millis> addedAt_;
    std::deque<std::pair<scheduler::Millis, std::string>> byTime_; ///< may hold outdated entries
};

} // namespace chicorywick::entry
