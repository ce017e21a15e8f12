#include <chicorywick/cli/session.h>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <ostream>

namespace chicorywick::cli {

namespace {

base::Result<twirp::ClientOptions> clientOptions(const SessionOptions &options,
                                                 const std::string &server)
{
    const std::size_t colon = server.rfind(':');
    twirp::ClientOptions client;
    const std::string port = colon == std::string::npos ? "" : server.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), client.port);
    constexpr int kMaxPort = 65535;
    if (error != std::errc() || end != port.data() + port.size() || client.port < 1
        || client.port > kMaxPort)
        return base::makeError(base::Code::UsageError,
                               "--server: '" + server + "' is not of the form host:port");
    client.host = server.substr(0, colon);
    client.callTimeout = options.callTimeout;
    client.token = options.token;
    client.operatorName = options.operatorName;
    client.unavailable = base::Code::ServerUnreachable;
    client.unknownOutcome = base::Code::PlatformUnknownOutcome;
    return client;
}

} // namespace

Session::Session(SessionOptions options, std::ostream &out, std::ostream &err)
    : options_(std::move(options))
    , out_(out)
    , err_(err)
{}

// Tries the next server only if one is unreachable. Any other error is final, also a response lost
// after the request was sent: the request id allows the operator to repeat the call safely.
base::Result<void> Session::call(const std::string &service, const std::string &method,
                                 const google::protobuf::Message &request,
                                 google::protobuf::Message &response) const
{
    base::Result<void> result = base::makeError(base::Code::UsageError, "no --server given");
    for (const std::string &server : options_.servers) {
        BOOST_OUTCOME_TRY(client, clientOptions(options_, server));
        result = twirp::Client(client).call("chicorywick.v1." + service, method, request, response);
        if (result || result.error().code != base::Code::ServerUnreachable)
            return result;
    }
    return result;
}

ExitCode Session::show(const google::protobuf::Message &response, const TextTable &table) const
{
    if (!options_.json) {
        out_ << formatTable(table);
        return ExitCode::Ok;
    }
    std::string json;
    google::protobuf::util::JsonPrintOptions print;
    print.always_print_primitive_fields = true;
    print.preserve_proto_field_names = true;
    if (!google::protobuf::util::MessageToJsonString(response, &json, print).ok())
        return fail(base::makeError(base::Code::OutputError));
    out_ << json << '\n';
    return ExitCode::Ok;
}

ExitCode Session::fail(const base::Error &error) const
{
    const int number = static_cast<int>(error.code);
    if (options_.json)
        err_ << nlohmann::json{{"result_code", number}, {"message", error.message}}.dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace)
             << '\n';
    else
        err_ << "error " << number << ": " << error.message << '\n';
    return exitCodeFor(error.code);
}

} // namespace chicorywick::cli
