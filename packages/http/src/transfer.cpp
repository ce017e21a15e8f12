#include <chicorywick/http/transfer.h>

#include <utility>

namespace chicorywick::http {

void Transfer::cancel()
{
    isCancelled_ = true;
    if (const auto abort = std::exchange(abort_, {}))
        abort();
}

void Transfer::recordBytes(std::size_t bytes, TimePoint now)
{
    const bool isFirst = !hasBegun();
    if (isFirst)
        begunAt_ = now;
    bytes_ = bytes;
    progressedAt_ = now;
    if (isFirst && onBegin)
        std::exchange(onBegin, {})();
}

} // namespace chicorywick::http
