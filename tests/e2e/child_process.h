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

/// @brief A program started by a test; killed when the test ends.
class ChildProcess
{
public:
    explicit ChildProcess(const std::vector<std::string> &command);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// @brief The rest of the first output line that contains a text; throws after the time limit.
    std::string waitForLine(const std::string &text,
                            std::chrono::seconds limit = std::chrono::seconds(20));

    void signal(int number) const;
    pid_t pid() const { return pid_; }

    /// @brief The exit status, or nothing if the process still runs after the time limit.
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

/// @brief Calls a condition until it holds or the time limit passes; the value is whether it held.
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
