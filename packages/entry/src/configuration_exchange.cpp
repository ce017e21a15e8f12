#include "configuration_exchange.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/http/compression.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
const std::string kQueryPath = "/configuration?after=";
constexpr const char *kAgeHeader = "x-configuration-age-ms";
constexpr const char *kAcceptEncoding = "accept-encoding";
constexpr const char *kContentEncoding = "content-encoding";
constexpr auto kConnectTimeout = 400ms;
// An answer may wait behind other traffic of a narrow link. Its size is not known.
constexpr auto kAnswerTimeout = 1'000ms;
constexpr std::size_t kMaxTextBytes = 8 * 1024 * 1024;
// Enough that some of them reach the store while it rejects a third of all instances.
constexpr std::size_t kMaxSenders = 16;
constexpr scheduler::Millis kUnhelpfulMs = 3'000;
// An instance whose own configuration is older cannot help.
constexpr scheduler::Millis kMaxHelpfulAgeMs = 1'500;

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<std::string> textOf(const http::Response &response)
{
    if (http::headerOf(response.headers, kContentEncoding) == http::kGzip)
        return http::decompress(response.body, kMaxTextBytes);
    return response.body;
}

} // namespace

ConfigurationExchange::ConfigurationExchange(boost::asio::io_context &loop, std::string ownAddress,
                                             std::uint64_t seed, ConfigurationExchangeHooks hooks)
    : loop_(loop)
    , ownAddress_(std::move(ownAddress))
    , rng_(seed)
    , hooks_(std::move(hooks))
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
std::string ConfigurationExchange::choosePeer(const std::vector<std::string> &leaders)
{
    std::vector<std::string> candidates(senders_.begin(), senders_.end());
    for (const std::string &leader : leaders)
        if (leader != ownAddress_ && http::parseEndpoint(leader).port != 0)
            candidates.push_back(leader);
    const scheduler::Millis now = hooks_.clock();
    std::erase_if(unhelpful_, [now](const auto &peer) { return peer.second <= now; });
    std::vector<std::string> preferred;
    for (const std::string &candidate : candidates)
        if (!unhelpful_.contains(candidate))
            preferred.push_back(candidate);
    if (!preferred.empty())
        candidates = std::move(preferred);
    return candidates.empty() ? std::string() : candidates[rng_.below(candidates.size())];
}

void ConfigurationExchange::ask(std::int64_t version, const std::vector<std::string> &leaders)
{
    if (isAsking_)
        return;
    const std::string peer = choosePeer(leaders);
    if (peer.empty())
        return;
    const auto client = std::make_shared<http::Client>(
            loop_, http::parseEndpoint(peer),
            http::ClientLimits{.maxConnections = 1, .connectTimeout = kConnectTimeout});
    isAsking_ = true;
    // The callback owns the client, which lives until it has answered.
    client->send({.method = "GET",
                  .target = kQueryPath + std::to_string(version),
                  .headers = {{kSenderHeader, ownAddress_}, {kAcceptEncoding, http::kGzip}}},
                 {.timeout = kAnswerTimeout, .stallTimeout = kAnswerTimeout},
                 [self = shared_from_this(), client, peer,
                  askedAt = hooks_.clock()](const base::Result<http::Response> &response) {
                     self->isAsking_ = false;
                     self->handleAnswer(peer, askedAt, response);
                 });
}

void ConfigurationExchange::handleAnswer(const std::string &peer, scheduler::Millis askedAt,
                                         const base::Result<http::Response> &response)
{
    if (!response)
        return recordUnhelpful(peer, response.error().message);
    const http::Response &answer = response.value();
    PeerConfiguration configuration;
    if (answer.status == kOk) {
        configuration.text = textOf(answer);
        if (!configuration.text)
            return recordUnhelpful(peer, "malformed answer");
    } else if (answer.status != kNoContent) {
        return recordUnhelpful(peer, "status " + std::to_string(answer.status));
    }
    const auto ageMs = parseNumber(http::headerOf(answer.headers, kAgeHeader));
    if (ageMs && *ageMs >= 0)
        configuration.knownUntil = askedAt - *ageMs;
    if (!ageMs || *ageMs > kMaxHelpfulAgeMs)
        unhelpful_[peer] = hooks_.clock() + kUnhelpfulMs;
    hooks_.onAnswer(configuration);
}

void ConfigurationExchange::recordUnhelpful(const std::string &peer, const std::string &reason)
{
    unhelpful_[peer] = hooks_.clock() + kUnhelpfulMs;
    base::logEvent(base::Event::ConfigQueryFailed, {{"peer", peer}, {"reason", reason}});
}

void SharedConfiguration::set(std::int64_t version, std::string text)
{
    version_ = version;
    text_ = std::move(text);
    compressed_.clear();
}

const std::string &SharedConfiguration::compressed() const
{
    if (compressed_.empty())
        compressed_ = http::compress(text_);
    return compressed_;
}

bool answerConfigurationQuery(const http::Request &request,
                              const SharedConfiguration &configuration,
                              std::optional<scheduler::Millis> ageMs,
                              const http::Responder &respond)
{
    if (!request.target.starts_with(kQueryPath))
        return false;
    const auto known = parseNumber(std::string_view(request.target).substr(kQueryPath.size()));
    const bool isNewer = known && configuration.version() > *known;
    http::Response response{.status = isNewer ? kOk : kNoContent};
    if (ageMs && known)
        response.headers[kAgeHeader] = std::to_string(*ageMs);
    if (isNewer) {
        const bool acceptsGzip = http::headerOf(request.headers, kAcceptEncoding) == http::kGzip;
        if (acceptsGzip)
            response.headers[kContentEncoding] = http::kGzip;
        response.body = acceptsGzip ? configuration.compressed() : configuration.text();
    }
    respond(std::move(response));
    return true;
}

} // namespace chicorywick::entry
