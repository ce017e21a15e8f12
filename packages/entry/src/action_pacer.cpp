#include "action_pacer.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

// Rest after an action, as a multiple of its duration: actions take at most a quarter of the time.
constexpr int kRestPerWork = 3;
// Limits the delay after an action during which the process was paused.
constexpr std::chrono::steady_clock::duration kMaxRest = 50ms;

} // namespace

void ActionPacer::run(std::function<void()> action)
{
    boost::asio::post(loop_, [self = shared_from_this(), action = std::move(action)]() mutable {
        self->executeAfterRest(std::move(action));
    });
}

void ActionPacer::executeAfterRest(std::function<void()> action)
{
    if (Clock::now() >= restsUntil_)
        return execute(action);
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, restsUntil_);
    timer->async_wait([self = shared_from_this(), timer,
                       action = std::move(action)](const boost::system::error_code &error) {
        if (!error)
            self->execute(action);
    });
}

void ActionPacer::execute(const std::function<void()> &action)
{
    const auto begin = Clock::now();
    action();
    const auto end = Clock::now();
    restsUntil_ = end + std::min<Clock::duration>(kRestPerWork * (end - begin), kMaxRest);
}

} // namespace chicorywick::entry
