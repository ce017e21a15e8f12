#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::e2e {

/// @brief A process started by a test; the destructor kills it.
class ChildProcess
{
public:
    explicit ChildProcess(const std::vector<std::string> &command);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// @brief Waits for an output line that contains a text and returns the rest of that line;
    /// throws after the time limit or when the output ends without it.
    std::string waitForLine(const std::string &text,
                            std::chrono::seconds limit = std::chrono::seconds(20));

    void signal(int number) const;
    pid_t pid() const { return pid_; }

    /// @brief Waits for the exit status; empty if the process still runs after the time limit.
    std::optional<int> waitForExit(std::chrono::seconds limit);

    std::string output();

private:
    void readOutput();

    pid_t pid_ = -1;
    int pipe_ = -1;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool isClosed_ = false;
    std::optional<int> exitStatus_;
    std::thread reader_;
};

/// @brief Polls a condition every 50 ms; returns false if it does not hold within the time limit.
template <typename Condition>
bool waitUntil(std::chrono::seconds limit, Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

} // namespace chicorywick::e2e
