#pragma once

#include "record.h"
#include "runner.h"

#include <chicorywick/http/server.h>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::review {

/// @brief Stand-in for the platform's control of machines. A call takes effect when it arrives; its
/// answer takes 20 to 40 ms, or a multiple of that. Used from its event loop only.
class MachineControl
{
public:
    MachineControl(boost::asio::io_context &loop, std::vector<std::unique_ptr<Runner>> &runners,
                   Record &record);

    std::uint16_t port() const { return server_.port(); }
    void setSlowness(int factor) { slowness_ = factor; }
    void addWave(int number, const std::vector<std::string> &machines);

    /// @brief The number of machines of a wave whose upkeep has begun.
    std::size_t begun(int wave) const;

private:
    void handle(const http::Request &request, const http::Responder &respond);
    void answer(const http::Responder &respond, int status, const json &body);
    void upkeep(const json &body, const http::Responder &respond);

    boost::asio::io_context &loop_;
    std::vector<std::unique_ptr<Runner>> &runners_;
    Record &record_;
    http::Server server_;
    int slowness_ = 1;
    std::minstd_rand random_; ///< the same times in each trial
    std::map<int, std::set<std::string>> waves_;
    std::map<int, std::set<std::string>> begun_;
};

} // namespace chicorywick::review
