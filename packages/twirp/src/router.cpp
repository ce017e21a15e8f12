#include <chicorywick/twirp/router.h>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace chicorywick::twirp {

namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kProtobuf = "application/protobuf";

// Parameters such as "; charset=utf-8" do not change the codec.
std::string_view mediaType(std::string_view contentType)
{
    return contentType.substr(0, contentType.find_first_of("; "));
}

base::Result<void> parse(std::string_view type, const std::string &body,
                         google::protobuf::Message &message)
{
    if (type == kProtobuf) {
        if (!message.ParseFromString(body))
            return base::makeError(base::Code::MalformedInput,
                                   "the body is not a valid " + message.GetTypeName());
        return base::ok();
    }
    const auto status = google::protobuf::util::JsonStringToMessage(body, &message);
    if (!status.ok())
        return base::makeError(base::Code::MalformedInput, std::string(status.message()));
    return base::ok();
}

HttpReply encode(std::string_view type, const google::protobuf::Message &message)
{
    HttpReply reply;
    reply.contentType = type;
    if (type == kProtobuf) {
        reply.body = message.SerializeAsString();
        return reply;
    }
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    const auto status = google::protobuf::util::MessageToJsonString(message, &reply.body, options);
    if (!status.ok())
        return errorReply(base::makeError(base::Code::OutputError, std::string(status.message())));
    return reply;
}

} // namespace

HttpReply errorReply(const base::Error &error)
{
    const base::CodeInfo &info = base::codeInfo(error.code);
    const nlohmann::json body = {
            {"code", info.twirpCode},
            {"msg", error.message},
            {"meta", {{"result_code", std::to_string(static_cast<int>(error.code))}}}};
    // The message may quote invalid UTF-8 from the request; dump() would throw on it by default.
    return HttpReply{info.httpStatus, std::string(kJson),
                     body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

HttpReply Router::handle(const HttpCall &call) const
{
    const auto found = entries_.find(call.path);
    if (found == entries_.end())
        return errorReply(base::makeError(base::Code::UnknownMethod, call.path));
    const std::string_view type = mediaType(call.contentType);
    if (type != kJson && type != kProtobuf)
        return errorReply(
                base::makeError(base::Code::MalformedInput,
                                "Content-Type must be application/json or application/protobuf"));

    const auto request = found->second.makeRequest();
    if (const auto parsed = parse(type, call.body, *request); !parsed)
        return errorReply(parsed.error());
    const CallResult response = found->second.call(call.context, *request);
    if (!response)
        return errorReply(response.error());
    return encode(type, *response.value());
}

} // namespace chicorywick::twirp
