#include "job_admission.h"

#include <algorithm>

namespace chicorywick::entry {

namespace {

// A job is stored, known to its leader and published within this time.
constexpr scheduler::Millis kReservationMs = 2'000;
// Part of the room that one instance may use until the leader has published what it has accepted;
// others accept at the same time.
constexpr std::int64_t kInstanceShare = 4;
// A holder may use up to this many times the room that is left. So one holder gets two thirds of
// the memory, and some is left for each further one.
constexpr std::int64_t kHolderFactor = 2;
// Large jobs leave some of their holder's room to small ones.
constexpr std::int64_t kHeadroomOfHolder = 16;
constexpr std::int64_t kHeadroomOfInstance = 4;

} // namespace

bool JobAdmission::reserve(int cell, const scheduler::JobMemory &published,
                           const std::string &holder, std::int64_t bytes, scheduler::Millis now)
{
    std::deque<Reservation> &recent = recent_[cell];
    while (!recent.empty() && now - recent.front().at >= kReservationMs)
        recent.pop_front();
    std::int64_t reserved = 0;
    std::int64_t reservedByHolder = 0;
    for (const Reservation &each : recent) {
        reserved += each.bytes;
        reservedByHolder += each.holder == holder ? each.bytes : 0;
    }
    const std::int64_t room = std::max<std::int64_t>(maxBytes_ - published.total, 0);
    const auto known = published.byHolder.find(holder);
    const std::int64_t ofHolder = known != published.byHolder.end() ? known->second : 0;
    const bool hasRoom =
            reserved + kHeadroomOfInstance * bytes <= room / kInstanceShare
            && ofHolder + reservedByHolder + kHeadroomOfHolder * bytes <= kHolderFactor * room;
    if (!hasRoom)
        return false;
    recent.push_back({.at = now, .holder = holder, .bytes = bytes});
    return true;
}

} // namespace chicorywick::entry
