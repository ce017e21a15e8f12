#include "chicorywick/v1/platform.pb.h"

#include <chicorywick/twirp/client.h>
#include <chicorywick/twirp/listener.h>
#include <chicorywick/twirp/router.h>

#include <doctest/doctest.h>

namespace chicorywick::twirp {

namespace {

constexpr const char *kService = "chicorywick.v1.TableService";

Router makeRouter()
{
    Router router;
    router.add<v1::GetRowRequest, v1::GetRowResponse>(
            kService, "Get",
            [](const CallContext &,
               const v1::GetRowRequest &request) -> base::Result<v1::GetRowResponse> {
                if (request.key().empty())
                    return base::makeError(base::Code::InvalidArgument, "key is empty");
                v1::GetRowResponse response;
                response.set_found(true);
                response.mutable_row()->set_key(request.key());
                return response;
            });
    return router;
}

HttpReply post(const std::string &contentType, const std::string &body)
{
    return makeRouter().handle({.path = "/twirp/chicorywick.v1.TableService/Get",
                                .contentType = contentType,
                                .body = body,
                                .context = {}});
}

} // namespace

TEST_CASE("a call with a JSON body is answered in JSON")
{
    const HttpReply reply = post("application/json; charset=utf-8", R"({"key":"pool/a"})");
    CHECK(reply.status == 200);
    CHECK(reply.body.find(R"("key":"pool/a")") != std::string::npos);
}

// Guards against accepting a request that could be parsed only in part.
TEST_CASE("malformed, unknown-field and wrong-type input returns a result code")
{
    for (const char *body : {"", "{", R"({"kay":"x"})", R"({"key":5.5})", "\xff\xfe"}) {
        const HttpReply reply = post("application/json", body);
        CHECK(reply.status == 400);
        CHECK(reply.body.find(R"("result_code":"2001")") != std::string::npos);
    }
    CHECK(post("text/plain", "{}").status == 400);
    CHECK(post("application/protobuf", "\x0a\x7f").status == 400);
}

TEST_CASE("an unknown method returns a result code")
{
    const HttpReply reply = makeRouter().handle(
            {.path = "/twirp/x/Y", .contentType = "application/json", .body = "{}", .context = {}});
    CHECK(reply.status == 404);
    CHECK(reply.body.find(R"("result_code":"2008")") != std::string::npos);
}

TEST_CASE("client and listener transfer values, errors and the token")
{
    auto listener = Listener::open({.token = "secret"}, makeRouter());
    REQUIRE(listener.has_value());
    ClientOptions options;
    options.port = listener.value()->port();
    options.token = "secret";
    v1::GetRowRequest request;
    request.set_key("k");
    const auto good = Client(options).call<v1::GetRowResponse>(kService, "Get", request);
    REQUIRE(good.has_value());
    CHECK(good.value().row().key() == "k");

    request.clear_key();
    const auto bad = Client(options).call<v1::GetRowResponse>(kService, "Get", request);
    CHECK(bad.error().code == base::Code::InvalidArgument);

    options.token = "wrong";
    const auto refused = Client(options).call<v1::GetRowResponse>(kService, "Get", request);
    CHECK(refused.error().code == base::Code::Unauthenticated);
}

// Guards against reporting an unknown outcome for a call that never reached a server.
TEST_CASE("a refused connection is reported as a call that was not executed")
{
    int freePort = 0;
    {
        auto listener = Listener::open({}, makeRouter());
        freePort = listener.value()->port();
    }
    ClientOptions options;
    options.port = freePort;
    const auto result =
            Client(options).call<v1::GetRowResponse>(kService, "Get", v1::GetRowRequest());
    CHECK(result.error().code == base::Code::PlatformUnavailable);
}

// Guards against the error response of the HTTP library, which carries no result code.
TEST_CASE("an oversized body is rejected with a result code")
{
    auto listener = Listener::open({.maxBodyBytes = 1000}, makeRouter());
    ClientOptions options;
    options.port = listener.value()->port();
    v1::GetRowRequest request;
    request.set_key(std::string(5000, 'k'));
    const auto result = Client(options).call<v1::GetRowResponse>(kService, "Get", request);
    CHECK(result.error().code == base::Code::InputTooLarge);
}

// Guards against accepting a secret that repeats the expected bytes: the comparison wraps around in
// the given secret.
TEST_CASE("secrets are compared by content and length")
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "abcabc"));
    CHECK_FALSE(constantTimeEquals("abc", ""));
}

} // namespace chicorywick::twirp
