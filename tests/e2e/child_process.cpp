#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <stdexcept>

namespace chicorywick::e2e {

ChildProcess::ChildProcess(const std::vector<std::string> &command)
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    // An inherited socket of a stand-in would stay open after the stand-in has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char *> arguments;
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const int failure =
            posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    pipe_ = pipeEnds[0];
    if (failure != 0)
        throw std::runtime_error("cannot start process " + command.front());
    reader_ = std::thread([this] { readOutput(); });
}

ChildProcess::~ChildProcess()
{
    if (!exitStatus_) {
        kill(pid_, SIGCONT);
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    reader_.join();
    close(pipe_);
}

void ChildProcess::readOutput()
{
    FILE *stream = fdopen(dup(pipe_), "r");
    char *line = nullptr;
    std::size_t capacity = 0;
    ssize_t length = 0;
    while ((length = getline(&line, &capacity, stream)) > 0) {
        const std::lock_guard lock(mutex_);
        lines_.emplace_back(line, static_cast<std::size_t>(length) - 1);
        changed_.notify_all();
    }
    std::free(line);
    fclose(stream);
    const std::lock_guard lock(mutex_);
    isClosed_ = true;
    changed_.notify_all();
}

std::string ChildProcess::waitForLine(const std::string &text, std::chrono::seconds limit)
{
    std::unique_lock lock(mutex_);
    std::string rest;
    const bool isFound = changed_.wait_for(lock, limit, [&] {
        for (const std::string &line : lines_) {
            const std::size_t at = line.find(text);
            if (at != std::string::npos) {
                rest = line.substr(at + text.size());
                return true;
            }
        }
        return isClosed_;
    });
    if (!isFound || (rest.empty() && isClosed_)) {
        std::string output;
        for (const std::string &line : lines_)
            output += line + "\n";
        throw std::runtime_error("no output line contains '" + text + "'; output:\n" + output);
    }
    return rest;
}

void ChildProcess::signal(int number) const
{
    kill(pid_, number);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::seconds limit)
{
    waitUntil(limit, [this] {
        int status = 0;
        if (!exitStatus_ && waitpid(pid_, &status, WNOHANG) == pid_)
            exitStatus_ = status;
        return exitStatus_.has_value();
    });
    return exitStatus_;
}

std::string ChildProcess::output()
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const std::string &line : lines_)
        text += line + "\n";
    return text;
}

} // namespace chicorywick::e2e
