#include <chicorywick/http/transfer.h>

#include <utility>

namespace chicorywick::http {

void Transfer::cancel()
{
    isCancelled_ = true;
    if (const auto abort = std::exchange(abort_, {}))
        abort();
}

void Transfer::beginRequest(std::function<void()> abort)
{
    formerBytes_ = bytes_;
    abort_ = std::move(abort);
}

void Transfer::recordBytes(std::size_t bytes, std::size_t expectedBytes, TimePoint now)
{
    if (!hasBegun())
        begunAt_ = now;
    bytes_ = formerBytes_ + bytes;
    expectedBytes_ = formerBytes_ + expectedBytes;
    progressedAt_ = now;
}

} // namespace chicorywick::http
