#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace chicorywick::http {

/// @brief The progress of one response, shared by the client that receives it and the caller that
/// waits for it. Used on the event loop only.
class Transfer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @brief The bytes of the body that have arrived.
    std::size_t bytes() const { return bytes_; }
    bool hasBegun() const { return begunAt_ != TimePoint(); }
    TimePoint begunAt() const { return begunAt_; }
    TimePoint progressedAt() const { return progressedAt_; }
    bool isCancelled() const { return isCancelled_; }

    /// @brief Ends the request, whose callback then gets an error. No effect once it was answered.
    void cancel();

    /// @brief Called once, when a first part of the response has arrived and more is to come.
    std::function<void()> onBegin;

private:
    friend class Client;

    void recordBytes(std::size_t bytes, TimePoint now);

    std::size_t bytes_ = 0;
    TimePoint begunAt_;
    TimePoint progressedAt_;
    bool isCancelled_ = false;
    std::function<void()> abort_; ///< set while the request is on a connection
};

using TransferPointer = std::shared_ptr<Transfer>;

} // namespace chicorywick::http
