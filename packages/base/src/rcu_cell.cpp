#include <chicorywick/base/rcu_cell.h>

#include <urcu/urcu-memb.h>

namespace chicorywick::base {

namespace {

struct ThreadRegistration
{
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

} // namespace

void rcuRegisterThread()
{
    thread_local const ThreadRegistration registration;
}

void rcuReadLock()
{
    urcu_memb_read_lock();
}

void rcuReadUnlock()
{
    urcu_memb_read_unlock();
}

void rcuSynchronize()
{
    urcu_memb_synchronize_rcu();
}

} // namespace chicorywick::base
