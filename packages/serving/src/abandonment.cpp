#include "abandonment.h"

#include "claim_rows.h"

namespace chicorywick::serving {

namespace {

constexpr std::size_t kMaxAbandonments = 4096;
constexpr int kMaxTries = 8;
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(500);

bool isHeldBy(const platform::Row &row, const Claim &claim)
{
    v1::ClaimRow parsed;
    return parsed.ParseFromString(row.value) && parsed.state() == v1::CLAIM_STATE_HELD
           && parsed.holder() == claim.token;
}

} // namespace

void AbandonmentQueue::add(Abandonment abandonment)
{
    const std::lock_guard lock(mutex_);
    if (queue_.size() < kMaxAbandonments)
        queue_.push_back(std::move(abandonment));
}

std::vector<Abandonment> AbandonmentQueue::takeDue(base::TimePoint now, std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    std::vector<Abandonment> due;
    std::deque<Abandonment> later;
    for (Abandonment &abandonment : queue_) {
        if (due.size() < limit && abandonment.due <= now)
            due.push_back(std::move(abandonment));
        else
            later.push_back(std::move(abandonment));
    }
    queue_ = std::move(later);
    return due;
}

void AbandonmentQueue::retry(Abandonment abandonment, base::TimePoint now)
{
    if (++abandonment.tries >= kMaxTries)
        return;
    abandonment.due = now + kRetryDelay * abandonment.tries;
    add(std::move(abandonment));
}

bool AbandonmentQueue::empty() const
{
    const std::lock_guard lock(mutex_);
    return queue_.empty();
}

GroupWriter::Write abandonmentWrite(const Abandonment &abandonment,
                                    const std::optional<platform::Row> &row)
{
    const std::uint64_t version = row ? row->version : 0;
    const bool isOwn = row && isHeldBy(*row, abandonment.claim);
    if (!isOwn && version != abandonment.versionBefore)
        return nullptr;
    auto write = std::make_shared<PendingWrite>();
    write->key = claimRowKey(abandonment.claim.key);
    write->expectedVersion = version;
    write->value = claimRow(abandonment.claim, v1::CLAIM_STATE_ABANDONED).SerializeAsString();
    write->kind = WriteKind::Abandonment;
    write->claim = abandonment.claim;
    write->claim.version = abandonment.versionBefore;
    write->tries = abandonment.tries;
    return write;
}

} // namespace chicorywick::serving
