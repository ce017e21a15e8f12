#include "runner.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;

constexpr auto kHeartbeat = 1'500ms;
constexpr auto kFirstHeartbeat = 500ms; ///< after a restart
constexpr std::int64_t kMaxLeaseMs = 6'000;
constexpr std::int64_t kClockAtStartMs = 1'000;
constexpr std::size_t kEndsPerReply = 500;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

std::uint16_t listenOnAnyPort(http::Server &server)
{
    if (!server.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("a runner stand-in cannot listen");
    return server.port();
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

void RunLog::started(const std::string &task, const RunPlace &place)
{
    std::set<RunPlace> &places = running_[task];
    record_.add("start " + task + " run " + std::to_string(place.run) + " on " + place.runner);
    ++startsByJob_[jobOf(task)];
    for (const RunPlace &other : places) {
        record_.addBreach("TWICE", task + ": run " + std::to_string(place.run) + " starts on "
                                           + place.runner + " while run "
                                           + std::to_string(other.run) + " is at work on "
                                           + other.runner);
    }
    if (doneAndAcknowledged_.contains(task))
        record_.addBreach("TWICE", task + " starts after an end done was taken note of");
    doneBeforeStart_[task] = done_[task];
    places.insert(place);
}

void RunLog::ended(const std::string &task, const RunPlace &place, const std::string &how)
{
    running_[task].erase(place);
    record_.add("end " + task + " run " + std::to_string(place.run) + " on " + place.runner + " "
                + how);
    endedAt_[task] = std::chrono::steady_clock::now();
    if (how == "done")
        done_[task].insert(place);
}

void RunLog::acknowledged(const std::string &task, const RunPlace &place, const std::string &how)
{
    if (how != "done")
        return;
    doneAndAcknowledged_.insert(task);
    if (doneBeforeStart_[task].erase(place) > 0)
        record_.addBreach("TWICE", task + ": run " + std::to_string(place.run) + " on "
                                           + place.runner + " had ended done, which is taken note "
                                           + "of now, before another run started");
}

int RunLog::starts(const std::string &job) const
{
    const auto found = startsByJob_.find(job);
    return found != startsByJob_.end() ? found->second : 0;
}

std::chrono::milliseconds RunLog::idleTime(const std::string &task) const
{
    const auto running = running_.find(task);
    const auto ended = endedAt_.find(task);
    if (running == running_.end() || !running->second.empty() || ended == endedAt_.end())
        return 0ms;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - ended->second);
}

Runner::Runner(boost::asio::io_context &loop, RunnerPlace place, Store &store, RunLog &log,
               Record &record)
    : loop_(loop)
    , place_(std::move(place))
    , store_(store)
    , log_(log)
    , record_(record)
    , server_(loop, [this](const http::Request &request,
                           const http::Responder &respond) { handle(request, respond); })
    , proxy_(loop, listenOnAnyPort(server_))
    , heartbeat_(loop)
    , lease_(loop)
    , restart_(loop)
    , id_("i-" + place_.machine + "-1")
{
    up(0ms);
}

std::int64_t Runner::clockMs() const
{
    return kClockAtStartMs
           + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                   - clockOrigin_)
                     .count();
}

void Runner::up(std::chrono::milliseconds firstHeartbeat)
{
    isUp_ = true;
    isInUpkeep_ = false;
    clockOrigin_ = std::chrono::steady_clock::now();
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    sequence_ = 0;
    fence_ = 0;
    leaseUntil_ = 0;
    nextEnd_ = 1;
    heartbeat_.expires_after(firstHeartbeat);
    heartbeat_.async_wait([this](const boost::system::error_code &error) {
        if (!error && isUp_)
            beat();
    });
}

void Runner::beat()
{
    store_.put("servers", id_,
               {{"service", place_.service},
                {"address", "127.0.0.1:" + std::to_string(proxy_.port())},
                {"zone", place_.zone},
                {"machine", place_.machine},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"seq_no", ++sequence_},
                {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                {"labels", {kCommonLabel, place_.rack}},
                {"born", born_}});
    heartbeat_.expires_after(kHeartbeat);
    heartbeat_.async_wait([this](const boost::system::error_code &error) {
        if (!error && isUp_)
            beat();
    });
}

// All that runs ends with the process, and the ends that no daemon has read are lost.
void Runner::down()
{
    isUp_ = false;
    heartbeat_.cancel();
    lease_.cancel();
    for (const auto &[task, run] : running_) {
        run.timer->cancel();
        log_.ended(task, {.runner = id_, .run = run.run}, "lost");
    }
    running_.clear();
    highestEnded_.clear();
    ended_.clear();
    for (const Poll &poll : std::exchange(polls_, {}))
        poll.timer->cancel();
    proxy_.close();
}

void Runner::crash(std::chrono::milliseconds downTime)
{
    record_.add("crash " + id_ + " for " + std::to_string(downTime.count()) + " ms");
    down();
    restart_.expires_after(downTime);
    restart_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        proxy_.listen();
        // The entry of the former life stays until then.
        up(kFirstHeartbeat);
        record_.add("back " + id_ + " born " + std::to_string(born_));
    });
}

void Runner::upkeep(std::chrono::milliseconds duration)
{
    record_.add("upkeep " + place_.machine);
    down();
    isInUpkeep_ = true;
    store_.remove("servers", id_);
    restart_.expires_after(duration);
    restart_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        id_ = "i-" + place_.machine + "-" + std::to_string(++lives_);
        proxy_.listen();
        up(0ms);
        record_.add("joined " + id_);
    });
}

json Runner::listing() const
{
    json entry{{"machine", place_.machine},
               {"pool", place_.service},
               {"state", isUp_         ? "up"
                         : isInUpkeep_ ? "upkeep"
                                       : "down"},
               {"zone", place_.zone},
               {"labels", {kCommonLabel, place_.rack}},
               {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}}};
    if (isUp_)
        entry["id"] = id_;
    return entry;
}

http::Response Runner::reply(int status, json body) const
{
    body["clock_ms"] = clockMs();
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

void Runner::handle(const http::Request &request, const http::Responder &respond)
{
    if (!isUp_)
        return; // read before the process ended
    if (http::headerOf(request.headers, "x-expect-instance") != id_)
        return respond({.status = kMisdirected});
    const json body = json::parse(request.body);
    const std::int64_t fence = body.value("fencing_token", std::int64_t{0});
    if (fence < fence_)
        return respond(reply(kConflict, {{"reason", "fence"}}));
    fence_ = fence;
    if (body.contains("deadline_ms")) {
        leaseUntil_ = std::max(leaseUntil_, std::min(body.at("deadline_ms").get<std::int64_t>(),
                                                     clockMs() + kMaxLeaseMs));
        expireLease();
    }
    if (request.target == "/run-start")
        return start(body, respond);
    if (request.target == "/run-stop")
        return stop(body, respond);
    if (request.target == "/hold")
        return hold(body, respond);
    respond(reply(200)); // a pace
}

void Runner::start(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    if (body.at("deadline_ms").get<std::int64_t>() <= clockMs())
        return respond(reply(kConflict, {{"reason", "late"}}));
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.run == run)
        return respond(reply(200));
    if (active != running_.end() || highestEnded_[task] >= run)
        return respond(reply(kConflict, {{"reason", "old"}}));
    std::istringstream words(body.at("spec").get<std::string>());
    std::string kind;
    std::int64_t duration = 0;
    words >> kind >> duration;
    Run &started = running_[task];
    started.run = run;
    started.timer = std::make_shared<boost::asio::steady_timer>(loop_);
    log_.started(task, {.runner = id_, .run = run});
    respond(reply(200));
    if (duration == 0)
        return;
    started.timer->expires_after(std::chrono::milliseconds(duration));
    started.timer->async_wait(
            [this, task, run, kind, life = born_](const boost::system::error_code &error) {
                // A timer that has expired runs its handler also if the run has ended meanwhile.
                const auto found = running_.find(task);
                if (!error && life == born_ && found != running_.end() && found->second.run == run)
                    end(task, kind == "fail" ? "failed" : "done");
            });
}

void Runner::stop(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    highestEnded_[task] = std::max(highestEnded_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run)
        end(task, "stopped");
    respond(reply(200));
}

void Runner::end(const std::string &task, const std::string &how)
{
    const auto found = running_.find(task);
    const std::int64_t run = found->second.run;
    found->second.timer->cancel();
    running_.erase(found);
    log_.ended(task, {.runner = id_, .run = run}, how);
    highestEnded_[task] = std::max(highestEnded_[task], run);
    ended_.push_back({nextEnd_++, task, run, how, ""});
    for (const Poll &poll : std::exchange(polls_, {})) {
        poll.timer->cancel();
        poll.respond(reply(200, lists()));
    }
}

void Runner::expireLease()
{
    lease_.expires_after(
            std::chrono::milliseconds(std::max<std::int64_t>(leaseUntil_ - clockMs(), 0)));
    lease_.async_wait([this, life = born_](const boost::system::error_code &error) {
        if (error || life != born_ || clockMs() < leaseUntil_)
            return;
        while (!running_.empty())
            end(running_.begin()->first, "lapsed");
    });
}

json Runner::lists() const
{
    json running = json::array();
    for (const auto &[task, run] : running_)
        running.push_back({task, run.run, "", 100, 0});
    json ended = json::array();
    for (const json &each : ended_)
        if (ended.size() < kEndsPerReply)
            ended.push_back(each);
    return {{"born", born_}, {"running", running}, {"ended", ended}};
}

void Runner::hold(const json &body, const http::Responder &respond)
{
    const std::int64_t acknowledged = body.value("acked_upto", std::int64_t{0});
    std::erase_if(ended_, [this, acknowledged](const json &each) {
        const bool isAcknowledged = each[0].get<std::int64_t>() <= acknowledged;
        if (isAcknowledged)
            log_.acknowledged(each[1], {.runner = id_, .run = each[2]}, each[3]);
        return isAcknowledged;
    });
    const std::int64_t wait = std::min(body.value("wait_ms", std::int64_t{0}), kMaxWaitMs);
    if (wait == 0 || !ended_.empty())
        return respond(reply(200, lists()));
    const auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(wait));
    polls_.push_back({.respond = respond, .timer = timer});
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        if (error)
            return;
        std::erase_if(polls_, [&](const Poll &poll) {
            if (poll.timer != timer)
                return false;
            poll.respond(reply(200, lists()));
            return true;
        });
    });
}

} // namespace chicorywick::review
