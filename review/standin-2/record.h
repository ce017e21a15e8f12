#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace chicorywick::review {

/// @brief Writes what was sent, answered and run to a file, one line an event. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {}

    void add(const std::string &who, const std::string &what)
    {
        const std::lock_guard lock(mutex_);
        file_ << elapsedMs() << " ms  " << who << "  " << what << '\n' << std::flush;
    }

    /// @brief Records that a rule was broken.
    void violate(const std::string &rule, const std::string &what)
    {
        add("BROKEN " + rule, what);
        const std::lock_guard lock(mutex_);
        ++violations_;
    }

    int violations() const
    {
        const std::lock_guard lock(mutex_);
        return violations_;
    }

    std::int64_t elapsedMs() const
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now() - begin_).count();
    }

private:
    mutable std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    int violations_ = 0;
};

} // namespace chicorywick::review
