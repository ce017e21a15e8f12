#pragma once

#include <chicorywick/entry/ports.h>

#include <map>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief The queue of a request and the path after the prefix.
struct RouteMatch
{
    scheduler::QueuePolicy policy;
    std::string rest;
    bool allowsAnonymous = false;

    bool operator==(const RouteMatch &) const = default;
};

/// @brief Finds the queue of a request by host and longest path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<QueueRoute> &routes);

    std::optional<RouteMatch> match(const std::string &host, const std::string &path) const;

private:
    std::map<std::string, std::vector<QueueRoute>> byHost_; ///< longest prefix first
};

} // namespace chicorywick::entry
