#pragma once

#include "evidence/virtual_time.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/serving/dispatcher.h>
#include <chicorywick/serving/upstream_directory.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::prove {

/// @brief Why an upstream must get no new work.
enum class LeavingReason { Drained, Listed, Dead };
inline constexpr std::size_t kLeavingReasons = 3;

/// @brief An upstream as it really is.
struct TrueUpstream
{
    std::string id;
    std::string zone;
    /// Since when each reason holds.
    std::array<std::optional<base::TimePoint>, kLeavingReasons> since;
    bool listed = true;
    /// Stamp of the operator's last decision.
    base::TimePoint drainStamp;
    std::deque<std::string> trace;
};

/// @brief An entry instance with its directory and dispatcher.
struct FakeEntry
{
    serving::UpstreamDirectory directory;
    std::unique_ptr<serving::Dispatcher> dispatcher;
    base::Duration clockSkew{};
    base::TimePoint frozenUntil;
    base::TimePoint cutUntil;
    /// Since when the entry instance knows each reason that holds now, by upstream.
    std::array<std::map<std::string, base::TimePoint>, kLeavingReasons> knowsSince;
    /// Since when it knows an operator's last drain by a notice, which it repeats to the others.
    std::map<std::string, base::TimePoint> heardSince;
    /// Messages lost in a row on the link to each other entry instance.
    std::vector<int> lostInRow;
};

/// @brief One randomised run: entry instances, upstreams, the platform's list and their faults.
class LeavingModel
{
public:
    explicit LeavingModel(std::uint64_t seed);
    ~LeavingModel();

    /// @brief The first violation with its trace, or empty.
    std::string run();

private:
    void onEntry(std::size_t entry, base::Duration delay, VirtualTime::Action action);
    void everyOnEntry(std::size_t entry, base::Duration interval,
                      const VirtualTime::Action &action);
    void every(base::Duration interval, const VirtualTime::Action &action);
    base::Duration upTo(base::Duration longest);

    void startEntries();
    void recordListing();
    platform::InstanceListing currentListing() const;
    void pollList(std::size_t entry);
    void checkHealth(std::size_t entry);
    void sendHints(std::size_t from);
    bool losesMessage(FakeEntry &from, std::size_t to);
    void refresh(std::size_t entry);
    void learnFromListing(std::size_t entry, base::TimePoint observedAt);
    void learnFromDrains(std::size_t entry);
    void learn(std::size_t entry, TrueUpstream &upstream, LeavingReason reason, const char *source);

    void injectFault();
    void changeUpstream();
    void operateDrain(std::size_t entry, TrueUpstream &upstream);
    void setReason(TrueUpstream &upstream, LeavingReason reason, bool holds, const char *text);

    void sendRequest(std::size_t entry);
    void startWork(std::size_t entry, serving::Permit permit);
    void endWork(std::size_t entry, const std::shared_ptr<serving::Permit> &permit, bool succeeded);
    std::string checkNewWork(std::size_t entry, const TrueUpstream &upstream) const;
    bool couldLearn(std::size_t entry, const TrueUpstream &upstream, LeavingReason reason,
                    base::TimePoint windowStart) const;
    bool couldHearOfDrain(std::size_t entry, const std::string &upstream,
                          base::TimePoint windowStart) const;
    std::string checkDrainedOut();

    TrueUpstream &byId(const std::string &id);
    void note(TrueUpstream &upstream, const std::string &text);
    std::string timeText() const;

    base::Rng rng_;
    VirtualTime time_;
    base::TimePoint start_;
    bool isClosing_ = false;
    bool isOffering_ = true;
    std::vector<TrueUpstream> upstreams_;
    std::vector<FakeEntry> entries_;
    std::deque<platform::InstanceListing> listings_;
    base::TimePoint listDownUntil_;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::string violation_;
};

} // namespace chicorywick::prove
