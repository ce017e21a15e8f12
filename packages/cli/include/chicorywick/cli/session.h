#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/cli/exit_code.h>
#include <chicorywick/cli/text_table.h>
#include <chicorywick/twirp/client.h>

#include <functional>
#include <iosfwd>

namespace chicorywick::cli {

/// @brief Settings common to all commands.
struct SessionOptions
{
    /// Operator listeners as host:port, tried in turn while one cannot be reached.
    std::vector<std::string> servers;
    std::string token;
    std::string operatorName;
    bool json = false;
    base::Duration callTimeout = std::chrono::seconds(10);
};

/// @brief Makes calls and prints results for one command.
class Session
{
public:
    Session(SessionOptions options, std::ostream &out, std::ostream &err);

    base::Result<void> call(const std::string &service, const std::string &method,
                            const google::protobuf::Message &request,
                            google::protobuf::Message &response) const;

    /// @brief Prints the response as one line of JSON with --json, else the table.
    ExitCode show(const google::protobuf::Message &response, const TextTable &table) const;

    /// @brief Prints the error to standard error, with --json as a JSON object.
    ExitCode fail(const base::Error &error) const;

    /// @brief Calls, then prints the response with the given table layout.
    template <typename Response>
    ExitCode callAndShow(const std::string &service, const std::string &method,
                         const google::protobuf::Message &request,
                         const std::function<TextTable(const Response &)> &layout) const
    {
        Response response;
        if (const auto result = call(service, method, request, response); !result)
            return fail(result.error());
        return show(response, layout(response));
    }

    bool isJson() const { return options_.json; }
    std::ostream &out() const { return out_; }
    std::ostream &err() const { return err_; }

private:
    SessionOptions options_;
    std::ostream &out_;
    std::ostream &err_;
};

} // namespace chicorywick::cli
