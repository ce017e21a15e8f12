#include <chicorywick/twirp/client.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <mutex>
#include <vector>

namespace chicorywick::twirp {

namespace {

using Connection = std::unique_ptr<httplib::Client>;

struct Timeout
{
    time_t seconds;
    time_t micros;
};

Timeout toTimeout(base::Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {static_cast<time_t>(seconds.count()),
            static_cast<time_t>((duration - seconds).count())};
}

Connection connect(const ClientOptions &options)
{
    auto connection = std::make_unique<httplib::Client>(options.host, options.port);
    const Timeout connectTimeout = toTimeout(options.connectTimeout);
    const Timeout callTimeout = toTimeout(options.callTimeout);
    connection->set_connection_timeout(connectTimeout.seconds, connectTimeout.micros);
    connection->set_read_timeout(callTimeout.seconds, callTimeout.micros);
    connection->set_write_timeout(callTimeout.seconds, callTimeout.micros);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    return connection;
}

bool isKnownCode(int number)
{
    for (const base::CodeInfo &info : base::allCodes()) {
        if (static_cast<int>(info.code) == number)
            return true;
    }
    return false;
}

// Servers outside this project may omit the result code; the HTTP status selects the error then.
base::Error remoteError(const ClientOptions &options, const httplib::Response &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const auto text = [&](const char *pointer) -> std::string {
        const nlohmann::json::json_pointer path(pointer);
        return body.is_object() && body.contains(path) && body[path].is_string()
                       ? body[path].get<std::string>()
                       : std::string();
    };
    const std::string number = text("/meta/result_code");
    int code = 0;
    std::from_chars(number.data(), number.data() + number.size(), code);
    if (isKnownCode(code))
        return base::Error{static_cast<base::Code>(code), text("/msg")};
    const std::string detail = "HTTP status " + std::to_string(response.status);
    if (response.status == 429 || response.status == 503)
        return base::makeError(options.unavailable, detail);
    return base::makeError(options.unknownOutcome, detail);
}

} // namespace

struct Client::Impl
{
    explicit Impl(ClientOptions given)
        : options(std::move(given))
    {}

    Connection acquireConnection()
    {
        const std::lock_guard lock(mutex);
        if (idle.empty())
            return connect(options);
        Connection connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }

    void releaseConnection(Connection connection)
    {
        const std::lock_guard lock(mutex);
        if (idle.size() < options.maxIdleConnections)
            idle.push_back(std::move(connection));
    }

    ClientOptions options;
    std::mutex mutex;
    std::vector<Connection> idle;
};

Client::Client(ClientOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{}

base::Result<void> Client::call(const std::string &service, const std::string &method,
                                const google::protobuf::Message &request,
                                google::protobuf::Message &response) const
{
    const ClientOptions &options = impl_->options;
    httplib::Headers headers;
    if (!options.token.empty())
        headers.emplace("Authorization", "Bearer " + options.token);
    if (!options.operatorName.empty())
        headers.emplace("X-Operator", options.operatorName);

    Connection connection = impl_->acquireConnection();
    const auto result = connection->Post("/twirp/" + service + "/" + method, headers,
                                         request.SerializeAsString(), "application/protobuf");
    // A connection whose call failed may still receive the late response, so it is not reused.
    if (!result) {
        const bool isUnsent = result.error() == httplib::Error::Connection
                              || result.error() == httplib::Error::ConnectionTimeout;
        return base::makeError(isUnsent ? options.unavailable : options.unknownOutcome,
                               httplib::to_string(result.error()) + " at " + options.host + ":"
                                       + std::to_string(options.port));
    }
    if (result->status != 200) {
        const base::Error error = remoteError(options, *result);
        impl_->releaseConnection(std::move(connection));
        return error;
    }
    if (!response.ParseFromString(result->body))
        return base::makeError(options.unknownOutcome, "the response cannot be parsed");
    impl_->releaseConnection(std::move(connection));
    return base::ok();
}

} // namespace chicorywick::twirp
