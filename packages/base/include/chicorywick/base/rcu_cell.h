#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace chicorywick::base {

/// @brief Registers the calling thread as an RCU reader for its lifetime.
void rcuRegisterThread();

/// @brief Enters and leaves an RCU read section.
void rcuReadLock();
void rcuReadUnlock();

/// @brief Waits until every read section that was open at the call has ended.
void rcuSynchronize();

/// @brief Scoped RCU read section.
class RcuReadGuard
{
public:
    RcuReadGuard()
    {
        rcuRegisterThread();
        rcuReadLock();
    }
    ~RcuReadGuard() { rcuReadUnlock(); }
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// @brief Holds an immutable value. Readers take no lock; writers replace the whole value.
template <typename T>
class RcuCell
{
public:
    explicit RcuCell(std::unique_ptr<const T> initial)
        : current_(initial.release())
    {}
    ~RcuCell() { delete current_.load(); }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /// @brief Calls the reader with the current value; the reference must not outlive the call.
    template <typename Reader>
    decltype(auto) read(Reader &&reader) const
    {
        const RcuReadGuard guard;
        return std::forward<Reader>(reader)(*current_.load(std::memory_order_acquire));
    }

    /// @brief Publishes a new value and frees the old one once no reader uses it.
    /// Must not be called from within read().
    void publish(std::unique_ptr<const T> next)
    {
        const T *old = nullptr;
        {
            const std::lock_guard lock(writers_);
            old = current_.exchange(next.release(), std::memory_order_acq_rel);
        }
        rcuSynchronize();
        delete old;
    }

private:
    std::atomic<const T *> current_;
    std::mutex writers_;
};

} // namespace chicorywick::base
