#pragma once

#include <chicorywick/scheduler/job_memory.h>
#include <chicorywick/scheduler/model.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace chicorywick::entry {

/// @brief Decides whether the leader of a cell has room for a job. Accepted jobs have to be kept,
/// also by the next leader, so each instance asks before it accepts one.
class JobAdmission
{
public:
    explicit JobAdmission(std::int64_t maxBytes)
        : maxBytes_(maxBytes)
    {}

    /// @brief Reserves room for a job of a holder; false if there is none. The published memory may
    /// lack what this instance and others have accepted in the last seconds.
    bool reserve(int cell, const scheduler::JobMemory &published, const std::string &holder,
                 std::int64_t bytes, scheduler::Millis now);

private:
    struct Reservation
    {
        scheduler::Millis at = 0;
        std::string holder;
        std::int64_t bytes = 0;
    };

    std::int64_t maxBytes_;
    std::map<int, std::deque<Reservation>> recent_; ///< by cell
};

} // namespace chicorywick::entry
