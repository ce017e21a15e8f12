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
    /// Operator listeners as host:port, tried in order until one is reachable.
    std::vector<std::string> servers;
    std::string token;
    std::string operatorName;
    bool json = false;
    base::Duration callTimeout = std::chrono::seconds(10);
};

/// @brief Makes the calls of a command and prints their results.
class Session
{
public:
    Session(SessionOptions options, std::ostream &out, std::ostream &err);

    /// @brief Calls the first reachable server.
    base::Result<void> call(const std::string &service, const std::string &method,
                            const google::protobuf::Message &request,
                            google::protobuf::Message &response) const;

    /// @brief Prints the response as one line of JSON with --json, otherwise the table.
    ExitCode show(const google::protobuf::Message &response, const TextTable &table) const;

    /// @brief Prints the error to standard error, as a JSON object with --json, and returns its
    /// exit code.
    ExitCode fail(const base::Error &error) const;

    /// @brief Makes a call and prints its response, or its error. `layout` converts the response to
    /// a table.
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
