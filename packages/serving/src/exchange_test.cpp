#include "caller_request.h"
#include "exchange.h"
#include "header_rules.h"

#include <doctest/doctest.h>

using namespace chicorywick;
using namespace chicorywick::serving;

// Guards against an outcome that contradicts what was sent and received. Covers each row of
// docs/request-outcomes.md.
TEST_CASE("an exchange is classified by what was sent and received")
{
    const auto classified = [](const ExchangeFacts &facts) { return classify(facts); };
    CHECK(classified({}) == ExchangeResult{Disposition::NotSent, AttemptOutcome::Unreachable});
    CHECK(classified({.timedOut = true})
          == ExchangeResult{Disposition::NotSent, AttemptOutcome::Unreachable});
    CHECK(classified({.connected = true})
          == ExchangeResult{Disposition::NotSent, AttemptOutcome::Failed});
    CHECK(classified({.connected = true, .bytesSent = 9})
          == ExchangeResult{Disposition::NoResponse, AttemptOutcome::Failed});
    CHECK(classified({.connected = true, .bytesSent = 9, .timedOut = true})
          == ExchangeResult{Disposition::NoResponse, AttemptOutcome::TimedOut});
    CHECK(classified({.connected = true, .bytesSent = 9, .callerDisconnected = true})
          == ExchangeResult{Disposition::NoResponse, AttemptOutcome::Cancelled});
    CHECK(classified({.connected = true, .bytesSent = 9, .bytesReceived = 1})
          == ExchangeResult{Disposition::Truncated, AttemptOutcome::Failed});
    CHECK(classified({.connected = true, .bytesSent = 9, .bytesReceived = 9, .headComplete = true})
          == ExchangeResult{Disposition::Truncated, AttemptOutcome::Failed});
    CHECK(classified({.connected = true, .bytesSent = 9, .bytesReceived = 9, .tooLarge = true})
          == ExchangeResult{Disposition::TooLarge, AttemptOutcome::Succeeded});
    ExchangeFacts whole{.connected = true,
                        .bytesSent = 9,
                        .bytesReceived = 9,
                        .headComplete = true,
                        .bodyComplete = true};
    CHECK(classified(whole) == ExchangeResult{Disposition::Completed, AttemptOutcome::Succeeded});
    whole.refusedByUpstream = true;
    CHECK(classified(whole) == ExchangeResult{Disposition::Refused, AttemptOutcome::Refused});
}

// Guards against request smuggling: if two parties determine a different length for one message, a
// second request can be hidden in its body.
TEST_CASE("contradicting body lengths are invalid")
{
    CHECK(framingOf({}) == BodyFraming::UntilClose);
    CHECK(framingOf({{"Content-Length", "5"}}) == BodyFraming::Length);
    CHECK(framingOf({{"Transfer-Encoding", "Chunked"}}) == BodyFraming::Chunked);
    CHECK(framingOf({{"Content-Length", "5"}, {"content-length", "6"}}) == BodyFraming::Invalid);
    CHECK(framingOf({{"Content-Length", "+5"}}) == BodyFraming::Invalid);
    CHECK(framingOf({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}})
          == BodyFraming::Invalid);
    CHECK(framingOf({{"Transfer-Encoding", "gzip, chunked"}}) == BodyFraming::Invalid);
}

// Guards against forwarding hop-by-hop headers and a forged X-Request-Outcome.
TEST_CASE("hop-by-hop headers are not forwarded")
{
    const httplib::Headers kept = endToEndHeaders({{"Connection", "close, X-Hop"},
                                                   {"X-Hop", "1"},
                                                   {"Keep-Alive", "5"},
                                                   {"Transfer-Encoding", "chunked"},
                                                   {"X-Request-Outcome", "completed"},
                                                   {"X-End", "2"}});
    CHECK(kept.size() == 1);
    CHECK(kept.count("X-End") == 1);
}

// Guards against forwarding malformed requests, and against deadlines above the maximum.
TEST_CASE("the method, target and headers of a request are validated")
{
    const auto read = [](const std::string &method, const std::string &target,
                         const httplib::Headers &headers) {
        httplib::Request request;
        request.method = method;
        request.target = target;
        request.headers = headers;
        return readRequestHead(request, CallerProxyOptions());
    };
    const auto valid = read("PUT", "/shop?x", {{"X-Request-Deadline-Ms", "99000"}});
    REQUIRE(valid);
    CHECK(valid.value().service == "shop");
    CHECK(valid.value().isIdempotent);
    CHECK(valid.value().timeout == CallerProxyOptions().maxDeadline);
    CHECK_FALSE(read("GET", "*", {}));
    CHECK_FALSE(read("GET", "//x", {}));
    CHECK_FALSE(read("CONNECT", "/shop", {}));
    CHECK_FALSE(read("GET", "/shop", {{"Content-Length", "5"}}));
    CHECK_FALSE(read("GET", "/shop", {{"X-Request-Deadline-Ms", "0"}}));
    CHECK_FALSE(read("GET", "/shop", {{"X-Request-Class", "slow"}}));
    CHECK_FALSE(read("GET", "/shop", {{"X-Caller", "a/b"}}));
    CHECK_FALSE(read("GET", "/shop", {{"X-Caller", "a"}, {"X-Caller", "b"}}));
    CHECK_FALSE(read("POST", "/shop", {{"X-Caller", "a"}, {"Idempotency-Key", ""}}));
}
