#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Header of requests between entry instances: the peer address of the sender.
inline constexpr const char *kSenderHeader = "x-peer-address";

/// @brief Fetches the configuration from other entry instances, for a time in which the store
/// rejects this one.
class ConfigurationExchange : public std::enable_shared_from_this<ConfigurationExchange>
{
public:
    using Receiver = std::function<void(const std::string &text)>;

    /// @brief The receiver gets the stored text of newer configurations.
    ConfigurationExchange(boost::asio::io_context &loop, std::string ownAddress, std::uint64_t seed,
                          Receiver receive);

    /// @brief Remembers the sender of a request, so that it can be asked too.
    void recordSender(const http::Request &request);

    /// @brief Asks one instance, chosen at random from the given ones and the recorded senders, for
    /// a configuration newer than the version.
    void ask(std::int64_t version, const std::vector<std::string> &leaders);

private:
    boost::asio::io_context &loop_;
    std::string ownAddress_;
    base::Rng rng_;
    Receiver receive_;
    std::deque<std::string> senders_; ///< the latest ones
    bool isAsking_ = false;
};

/// @brief Serves ConfigurationExchange::ask(); returns false for other requests. The text is that
/// of the configuration in force, of the given version.
bool answerConfigurationQuery(const http::Request &request, std::int64_t version,
                              const std::string &text, const http::Responder &respond);

} // namespace chicorywick::entry
