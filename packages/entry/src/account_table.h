#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/entry/ports.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Finds the client account of a request by its API key.
class AccountTable
{
public:
    /// @brief A table that requires no keys.
    AccountTable() = default;
    explicit AccountTable(const std::optional<std::vector<ClientAccount>> &accounts);

    /// @brief The account of a request; null if it belongs to none. Fails with ApiKeyMissing or
    /// ApiKeyUnknown.
    base::Result<const scheduler::AccountPolicy *> identify(const std::string &apiKey,
                                                            bool allowsAnonymous) const;

private:
    bool requiresKeys_ = false;
    std::vector<scheduler::AccountPolicy> policies_;
    std::map<std::string, std::size_t> indexByKey_;
};

} // namespace chicorywick::entry
