#include "announcer.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/layout.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr int kMaxAttempts = 5;
constexpr std::chrono::milliseconds kFirstPause = 100ms; // doubles after each attempt
// By then, a leader that follows the jobs table has read the row there.
constexpr std::chrono::milliseconds kMaxDuration = 2'000ms;
// Bound the messages to a leader that is behind or cannot be reached.
constexpr int kMaxOutstanding = 64;
constexpr int kMaxRepeating = 512;

} // namespace

struct Announcer::Announcement
{
    int cell = 0;
    Row row;
    bool isCancellation = false;
    SteadyClock::time_point begunAt;
    int attempts = 0;
};

void Announcer::announce(int cell, const Row &row)
{
    attempt(std::make_shared<Announcement>(
            Announcement{.cell = cell,
                         .row = row,
                         .isCancellation = !layout::cancelledJob(row.key.key).empty(),
                         .begunAt = SteadyClock::now()}));
}

void Announcer::attempt(const AnnouncementPointer &announcement)
{
    ++announcement->attempts;
    if (outstanding_ >= kMaxOutstanding)
        return handleFailure(announcement, "too many announcements without an answer");
    ++outstanding_;
    send_(announcement->cell, announcement->row,
          [self = shared_from_this(), announcement](bool isConfirmed) {
              --self->outstanding_;
              if (!isConfirmed)
                  self->handleFailure(announcement, "not confirmed by a leader");
          });
}

void Announcer::handleFailure(const AnnouncementPointer &announcement, const char *reason)
{
    const auto pause = kFirstPause * (1 << (announcement->attempts - 1));
    const auto elapsed = SteadyClock::now() - announcement->begunAt;
    const bool isRepeated = announcement->isCancellation && announcement->attempts < kMaxAttempts
                            && elapsed + pause <= kMaxDuration && repeating_ < kMaxRepeating;
    if (!isRepeated) {
        base::logEvent(base::Event::AnnouncementLost,
                       {{"row", announcement->row.key.key},
                        {"cell", std::to_string(announcement->cell)},
                        {"cancels", announcement->isCancellation ? "1" : "0"},
                        {"attempts", std::to_string(announcement->attempts)},
                        {"reason", reason}});
        return;
    }
    ++repeating_;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, pause);
    timer->async_wait([self = shared_from_this(), announcement,
                       timer](const boost::system::error_code &error) {
        --self->repeating_;
        if (!error)
            self->attempt(announcement);
    });
}

} // namespace chicorywick::entry
