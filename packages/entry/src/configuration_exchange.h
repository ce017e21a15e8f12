#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>
#include <chicorywick/scheduler/model.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Header of requests between entry instances: the peer address of the sender.
inline constexpr const char *kSenderHeader = "x-peer-address";

/// @brief What another entry instance knows of the configuration.
struct PeerConfiguration
{
    std::optional<std::string> text; ///< stored form, if newer than the version that was asked for
    /// The newest version stored up to this time is that one or an older one, or that of the text.
    /// On the clock of the instance that asked.
    scheduler::Millis knownUntil = 0;

    bool operator==(const PeerConfiguration &) const = default;
};

struct ConfigurationExchangeHooks
{
    std::function<scheduler::Millis()> clock; ///< steady, includes time in suspend
    std::function<void(const PeerConfiguration &)> onAnswer;
};

/// @brief Fetches the configuration from other entry instances, for a time in which the store does
/// not answer this one, or not soon enough.
class ConfigurationExchange : public std::enable_shared_from_this<ConfigurationExchange>
{
public:
    ConfigurationExchange(boost::asio::io_context &loop, std::string ownAddress, std::uint64_t seed,
                          ConfigurationExchangeHooks hooks);

    /// @brief Remembers the sender of a request, so that it can be asked too.
    void recordSender(const http::Request &request);

    /// @brief Asks one instance, chosen at random from the given ones and the recorded senders, for
    /// a configuration newer than the version. Instances that could not help a short time ago are
    /// asked last.
    void ask(std::int64_t version, const std::vector<std::string> &leaders);

private:
    std::string choosePeer(const std::vector<std::string> &leaders);
    void handleAnswer(const std::string &peer, scheduler::Millis askedAt,
                      const base::Result<http::Response> &response);
    void recordUnhelpful(const std::string &peer, const std::string &reason);

    boost::asio::io_context &loop_;
    std::string ownAddress_;
    base::Rng rng_;
    ConfigurationExchangeHooks hooks_;
    std::deque<std::string> senders_;                    ///< the latest ones
    std::map<std::string, scheduler::Millis> unhelpful_; ///< until when, by address
    bool isAsking_ = false;
};

/// @brief The configuration in force at this instance, to be sent to others.
class SharedConfiguration
{
public:
    void set(std::int64_t version, std::string text);
    std::int64_t version() const { return version_; }
    const std::string &text() const { return text_; }
    const std::string &compressed() const;

private:
    std::int64_t version_ = 0;
    std::string text_; ///< stored form
    mutable std::string compressed_;
};

/// @brief Serves ConfigurationExchange::ask(); returns false for other requests. The age tells how
/// long ago the configuration was last known to be the newest; empty if it never was.
bool answerConfigurationQuery(const http::Request &request,
                              const SharedConfiguration &configuration,
                              std::optional<scheduler::Millis> ageMs,
                              const http::Responder &respond);

} // namespace chicorywick::entry
