#pragma once

#include <unistd.h>

#include <utility>

namespace chicorywick::serving {

/// @brief Owns a file descriptor and closes it.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd)
        : fd_(fd)
    {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor &&other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {}
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int get() const { return fd_; }
    bool isOpen() const { return fd_ >= 0; }
    void reset()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

private:
    int fd_ = -1;
};

} // namespace chicorywick::serving
