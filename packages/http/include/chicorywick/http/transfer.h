#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace chicorywick::http {

/// @brief The progress of a response, shared by the client that receives it and the caller that
/// waits for it. Used on the event loop only, also for several requests one after another.
class Transfer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @brief The bytes of all bodies that have arrived.
    std::size_t bytes() const { return bytes_; }

    /// @brief The bytes that will have arrived at the end of the response; at least bytes().
    std::size_t expectedBytes() const { return std::max(bytes_, expectedBytes_); }
    bool hasBegun() const { return begunAt_ != TimePoint(); }
    TimePoint begunAt() const { return begunAt_; }
    TimePoint progressedAt() const { return progressedAt_; }
    bool isCancelled() const { return isCancelled_; }

    /// @brief Ends the request, whose callback then gets an error. No effect once it was answered.
    void cancel();

    /// @brief Called when a part of the response has arrived and more is to come.
    std::function<void()> onProgress;

private:
    friend class Client;

    void beginRequest(std::function<void()> abort);
    void endRequest() { abort_ = {}; }
    void recordBytes(std::size_t bytes, std::size_t expectedBytes, TimePoint now);

    std::size_t formerBytes_ = 0; ///< of the responses before
    std::size_t bytes_ = 0;
    std::size_t expectedBytes_ = 0;
    TimePoint begunAt_;
    TimePoint progressedAt_;
    bool isCancelled_ = false;
    std::function<void()> abort_; ///< set while the request is on a connection
};

using TransferPointer = std::shared_ptr<Transfer>;

} // namespace chicorywick::http
