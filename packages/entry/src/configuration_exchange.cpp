#include "configuration_exchange.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
const std::string kQueryPath = "/configuration?after=";
constexpr auto kTimeout = 400ms;
// Enough that some of them reach the store while it rejects a third of all instances.
constexpr std::size_t kMaxSenders = 16;

} // namespace

ConfigurationExchange::ConfigurationExchange(boost::asio::io_context &loop, std::string ownAddress,
                                             std::uint64_t seed, Receiver receive)
    : loop_(loop)
    , ownAddress_(std::move(ownAddress))
    , rng_(seed)
    , receive_(std::move(receive))
{}

void ConfigurationExchange::recordSender(const http::Request &request)
{
    const std::string &address = http::headerOf(request.headers, kSenderHeader);
    const bool isKnown = std::find(senders_.begin(), senders_.end(), address) != senders_.end();
    if (isKnown || address == ownAddress_ || http::parseEndpoint(address).port == 0)
        return;
    if (senders_.size() == kMaxSenders)
        senders_.pop_front();
    senders_.push_back(address);
}

// The leaders alone do not suffice: the store may reject all of those that this instance knows.
void ConfigurationExchange::ask(std::int64_t version, const std::vector<std::string> &leaders)
{
    std::vector<std::string> candidates(senders_.begin(), senders_.end());
    for (const std::string &leader : leaders)
        if (leader != ownAddress_ && http::parseEndpoint(leader).port != 0)
            candidates.push_back(leader);
    if (isAsking_ || candidates.empty())
        return;
    const std::string &chosen = candidates[rng_.below(candidates.size())];
    const auto client = std::make_shared<http::Client>(
            loop_, http::parseEndpoint(chosen),
            http::ClientLimits{.maxConnections = 1, .connectTimeout = kTimeout});
    isAsking_ = true;
    // The callback owns the client, which lives until it has answered.
    client->send({.method = "GET",
                  .target = kQueryPath + std::to_string(version),
                  .headers = {{kSenderHeader, ownAddress_}}},
                 kTimeout,
                 [self = shared_from_this(), client,
                  chosen](const base::Result<http::Response> &response) {
                     self->isAsking_ = false;
                     if (!response)
                         base::logEvent(base::Event::ConfigQueryFailed,
                                        {{"peer", chosen}, {"reason", response.error().message}});
                     if (response && response.value().status == kOk)
                         self->receive_(response.value().body);
                 });
}

bool answerConfigurationQuery(const http::Request &request, std::int64_t version,
                              const std::string &text, const http::Responder &respond)
{
    if (!request.target.starts_with(kQueryPath))
        return false;
    std::int64_t known = 0;
    const char *const last = request.target.data() + request.target.size();
    const auto [end, error] =
            std::from_chars(request.target.data() + kQueryPath.size(), last, known);
    const bool isNewer = error == std::errc() && end == last && version > known;
    if (isNewer)
        respond(http::Response{.status = kOk, .body = text});
    else
        respond(http::Response{.status = kNoContent});
    return true;
}

} // namespace chicorywick::entry
