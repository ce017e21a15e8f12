#include "account_table.h"

#include <chicorywick/base/log_event.h>

namespace chicorywick::entry {

AccountTable::AccountTable(const std::optional<std::vector<ClientAccount>> &accounts)
    : requiresKeys_(accounts.has_value())
{
    if (!accounts)
        return;
    for (const ClientAccount &account : *accounts) {
        for (const std::string &key : account.apiKeys) {
            const auto [item, isNew] = indexByKey_.emplace(key, policies_.size());
            // The key itself is a secret and is not logged.
            if (!isNew)
                base::logEvent(base::Event::ApiKeyAmbiguous,
                               {{"account", policies_[item->second].name},
                                {"ignored_for", account.policy.name}});
        }
        policies_.push_back(account.policy);
    }
}

// An unknown key is refused also where none is needed: its owner expects to act for an account.
base::Result<const scheduler::AccountPolicy *> AccountTable::identify(const std::string &apiKey,
                                                                      bool allowsAnonymous) const
{
    if (!requiresKeys_)
        return nullptr;
    if (apiKey.empty()) {
        if (allowsAnonymous)
            return nullptr;
        return base::makeError(base::Code::ApiKeyMissing);
    }
    const auto found = indexByKey_.find(apiKey);
    if (found == indexByKey_.end())
        return base::makeError(base::Code::ApiKeyUnknown);
    return &policies_[found->second];
}

} // namespace chicorywick::entry
