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

/// @brief Why an upstream must receive no new work.
enum class LeavingReason { Drained, Listed, Dead };
inline constexpr std::size_t kLeavingReasons = 3;

/// @brief The actual state of an upstream.
struct SimulatedUpstream
{
    std::string id;
    std::string zone;
    /// Time since which each reason holds.
    std::array<std::optional<base::TimePoint>, kLeavingReasons> since;
    bool listed = true;
    /// Timestamp of the operator's last drain decision.
    base::TimePoint drainDecidedAt;
    std::deque<std::string> trace;
};

/// @brief An entry instance with its directory and dispatcher.
struct SimulatedEntry
{
    serving::UpstreamDirectory directory;
    std::unique_ptr<serving::Dispatcher> dispatcher;
    base::Duration clockSkew{};
    base::TimePoint frozenUntil;
    base::TimePoint partitionedUntil;
    /// Time at which the entry instance received each reason that holds, by upstream.
    std::array<std::map<std::string, base::TimePoint>, kLeavingReasons> receivedAt;
    /// Time at which it received the last drain from an operator or a notice. It forwards the drain
    /// to the other entry instances.
    std::map<std::string, base::TimePoint> drainReceivedAt;
    /// Consecutive messages lost on the link to each other entry instance.
    std::vector<int> consecutiveLosses;
};

/// @brief One randomised run of entry instances, upstreams and the platform's list under faults.
class LeavingModel
{
public:
    explicit LeavingModel(std::uint64_t seed);
    ~LeavingModel();

    /// @brief Returns the first violation with its trace, or an empty string.
    std::string run();

private:
    void scheduleOnEntry(std::size_t entry, base::Duration delay, VirtualTime::Action action);
    void repeatOnEntry(std::size_t entry, base::Duration interval,
                       const VirtualTime::Action &action);
    void repeat(base::Duration interval, const VirtualTime::Action &action);
    base::Duration randomDuration(base::Duration longest);

    void startEntries();
    void recordListing();
    platform::InstanceListing currentListing() const;
    void pollList(std::size_t entry);
    void checkHealth(std::size_t entry);
    void sendDrainNotices(std::size_t from);
    bool losesMessage(SimulatedEntry &from, std::size_t to);
    void refresh(std::size_t entry);
    void receiveListing(std::size_t entry, base::TimePoint observedAt);
    void receiveDrains(std::size_t entry);
    void recordReason(std::size_t entry, SimulatedUpstream &upstream, LeavingReason reason,
                      const char *source);

    void injectFault();
    void changeUpstream();
    void toggleDrain(std::size_t entry, SimulatedUpstream &upstream);
    void setReason(SimulatedUpstream &upstream, LeavingReason reason, bool holds, const char *text);

    void sendRequest(std::size_t entry);
    void startWork(std::size_t entry, serving::Permit permit);
    void endWork(std::size_t entry, const std::shared_ptr<serving::Permit> &permit, bool succeeded);
    std::string checkNewWork(std::size_t entry, const SimulatedUpstream &upstream) const;
    bool couldReceiveReason(std::size_t entry, const SimulatedUpstream &upstream,
                            LeavingReason reason, base::TimePoint windowStart) const;
    bool couldReceiveDrain(std::size_t entry, const std::string &upstream,
                           base::TimePoint windowStart) const;
    std::string checkAllWorkFinished();

    SimulatedUpstream &upstreamById(const std::string &id);
    void addTraceLine(SimulatedUpstream &upstream, const std::string &text);
    std::string timeText() const;

    base::Rng rng_;
    VirtualTime time_;
    base::TimePoint start_;
    bool isClosing_ = false;
    bool isOfferingLoad_ = true;
    std::vector<SimulatedUpstream> upstreams_;
    std::vector<SimulatedEntry> entries_;
    std::deque<platform::InstanceListing> listings_;
    base::TimePoint listDownUntil_;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::string violation_;
};

} // namespace chicorywick::prove
