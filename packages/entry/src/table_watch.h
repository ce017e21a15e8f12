#pragma once

#include "view_watch.h"

#include <string>
#include <utility>

namespace chicorywick::entry {

using TableWatchHooks = WatchHooks<RowPage>;

/// @brief Follows the changes of a table.
class TableWatch : public ViewWatch<RowPage>
{
public:
    TableWatch(boost::asio::io_context &loop, Table &table, std::string name, TableWatchHooks hooks,
               WatchTiming timing = {})
        : ViewWatch(
                loop,
                [&table, name = std::move(name)](const WatchRequest &request,
                                                 Callback<RowPage> done) {
                    table.watch(name, request, std::move(done));
                },
                std::move(hooks), timing)
    {}
};

} // namespace chicorywick::entry
