#pragma once

#include <chicorywick/cluster/config_applier.h>
#include <chicorywick/cluster/membership.h>

#include <deque>
#include <functional>

namespace chicorywick::cluster {

/// @brief Limits of the configuration and hint messages between peers.
struct PeerAgentOptions
{
    std::string deployment;
    MembershipOptions membership;
    /// Receivers per member of a relayed message or a configuration change: up to this many in the
    /// local zone and up to this many links.
    std::size_t relayFanout = 3;
    /// Receivers of a load report: up to this many in the local zone and up to this many links.
    std::size_t loadFanout = 8;
    /// Changes within this interval are sent together.
    base::Duration configPushInterval = std::chrono::milliseconds(50);
    /// Minimum interval between two requests for a newer configuration.
    base::Duration configPullInterval = std::chrono::milliseconds(300);
    std::size_t maxSeenRelays = 4096;
    /// Status queries sent per tick, so that a survey of many members does not cause a burst.
    std::size_t surveyBatch = 32;
};

/// @brief Callbacks for received hints and state changes. Empty callbacks are skipped.
struct PeerCallbacks
{
    std::function<void(const MemberIdentity &from, const v1::LoadReport &)> onLoad;
    std::function<void(const v1::DrainNotice &)> onDrain;
    std::function<void(const v1::BurnSummary &)> onBurn;
    std::function<void(const ConfigApplier &)> onConfig;
    std::function<void(const MemberEvent &)> onMember;
};

/// @brief The configuration state that a member last reported.
struct MemberConfig
{
    v1::ConfigDigest digest;
    /// Time of its last survey reply.
    base::TimePoint answeredAt{};
};

/// @brief Membership, configuration dissemination and relayed hints of one daemon. A state machine
/// without I/O.
class PeerAgent
{
public:
    PeerAgent(MemberIdentity self, std::uint64_t incarnation, PeerAgentOptions options,
              std::uint64_t seed, PeerCallbacks callbacks = {});

    std::vector<OutgoingMessage> tick(base::TimePoint now);
    std::vector<OutgoingMessage> receive(const v1::PeerMessage &message, base::TimePoint now);
    std::vector<OutgoingMessage> leave(base::TimePoint now);

    /// @brief Applies a change that was read from the table.
    void applyFromTable(const v1::ConfigDelta &delta, base::TimePoint now);

    std::vector<OutgoingMessage> sendLoad(const v1::LoadReport &report);
    std::vector<OutgoingMessage> broadcast(const v1::DrainNotice &notice);
    std::vector<OutgoingMessage> broadcast(const v1::BurnSummary &summary);

    /// @brief Queues a status query to every member that has not left.
    void startSurvey();
    bool isSurveyDone() const { return surveyQueue_.empty(); }
    const std::map<std::string, MemberConfig> &memberConfigs() const { return memberConfigs_; }

    Membership &membership() { return membership_; }
    const Membership &membership() const { return membership_; }
    ConfigApplier &config() { return config_; }
    const ConfigApplier &config() const { return config_; }

private:
    void finish(std::vector<OutgoingMessage> &out);
    void appendMessage(std::vector<OutgoingMessage> &out, const MemberIdentity &target,
                       v1::PeerMessage message);
    std::vector<OutgoingMessage> originate(v1::PeerMessage message);
    void forward(const v1::PeerMessage &message, const std::string &except,
                 std::vector<OutgoingMessage> &out);
    bool markSeen(const v1::Relay &relay);
    void onConfigBody(const v1::PeerMessage &message, base::TimePoint now,
                      std::vector<OutgoingMessage> &out);
    void comparePeerConfig(const v1::PeerMessage &message, base::TimePoint now,
                           std::vector<OutgoingMessage> &out);
    void pushConfig(base::TimePoint now, std::vector<OutgoingMessage> &out);
    void continueSurvey(std::vector<OutgoingMessage> &out);
    void dispatchHint(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out);
    void dispatchMemberEvents();
    void pruneMemberConfigs();

    PeerAgentOptions options_;
    PeerCallbacks callbacks_;
    Membership membership_;
    ConfigApplier config_;
    std::uint64_t pushedVersion_ = 0;
    base::TimePoint nextPush_{};
    base::TimePoint nextPull_{};
    std::uint64_t nextRelay_ = 1;
    std::set<std::string> seen_;
    std::deque<std::string> seenOrder_;
    std::map<std::string, MemberConfig> memberConfigs_;
    std::vector<MemberIdentity> surveyQueue_;
};

} // namespace chicorywick::cluster
