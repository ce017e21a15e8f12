#include "scheduler_worker.h"

namespace chicorywick::scheduler {

void Scheduler::setAccounts(const std::vector<AccountPolicy> &accounts)
{
    accounts_.clear();
    for (const AccountPolicy &account : accounts)
        accounts_.emplace(account.name, account);
}

} // namespace chicorywick::scheduler
