#include <chicorywick/entry/route_table.h>

#include <algorithm>

namespace chicorywick::entry {

RouteTable::RouteTable(const std::vector<QueueRoute> &routes)
{
    for (const QueueRoute &route : routes)
        byHost_[route.host].push_back(route);
    for (auto &[host, hostRoutes] : byHost_)
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
                         [](const QueueRoute &left, const QueueRoute &right) {
                             return left.pathPrefix.size() > right.pathPrefix.size();
                         });
}

std::optional<RouteMatch> RouteTable::match(const std::string &host, const std::string &path) const
{
    const auto found = byHost_.find(host.substr(0, host.find(':')));
    if (found == byHost_.end())
        return std::nullopt;
    const std::string withoutQuery = path.substr(0, path.find('?'));
    for (const QueueRoute &route : found->second)
        if (withoutQuery.starts_with(route.pathPrefix))
            return RouteMatch{.policy = route.policy,
                              .rest = withoutQuery.substr(route.pathPrefix.size()),
                              .allowsAnonymous = route.allowsAnonymous};
    return std::nullopt;
}

} // namespace chicorywick::entry
