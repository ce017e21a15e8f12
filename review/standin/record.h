#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace chicorywick::review {

/// @brief Writes what happens in a trial to a file, one line an event, with the time in
/// milliseconds since the start of the trial. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);

    void add(const std::string &line);

    /// @brief Adds a line on a broken rule and counts it.
    void addBreach(const std::string &rule, const std::string &what);

    int breaches() const;
    std::int64_t elapsedMs() const;

private:
    mutable std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    int breaches_ = 0;
};

} // namespace chicorywick::review
