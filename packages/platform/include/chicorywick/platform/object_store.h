#pragma once

#include <chicorywick/platform/table.h>

namespace chicorywick::platform {

/// @brief The object store, over Twirp or in memory. Objects are immutable; their names contain a
/// digest of the content.
class ObjectStore
{
public:
    explicit ObjectStore(twirp::Client client)
        : backend_(std::move(client))
    {}
    explicit ObjectStore(MemoryAccess memory)
        : backend_(std::move(memory))
    {}

    base::Result<void> put(const std::string &name, const std::string &content) const;
    base::Result<std::string> get(const std::string &name) const;
    base::Result<void> remove(const std::string &name) const;

private:
    std::variant<twirp::Client, MemoryAccess> backend_;
};

/// @brief Returns "<prefix>/<digest of the content>".
std::string objectName(const std::string &prefix, const std::string &content);

} // namespace chicorywick::platform
