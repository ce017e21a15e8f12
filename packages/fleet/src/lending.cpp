#include <chicorywick/fleet/lending.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

std::uint32_t shortage(const LendingPool &pool)
{
    const std::uint32_t expected = pool.available() + pool.arriving;
    return pool.needed > expected ? pool.needed - expected : 0;
}

/// @brief Selects moves and tracks their effect on the pools.
class LendingDecision
{
public:
    LendingDecision(const LendingView &view, std::size_t limit)
        : view_(view)
        , pools_(view.pools)
        , limit_(limit)
    {}

    std::vector<InstanceMove> decide()
    {
        const auto spare = std::find_if(pools_.begin(), pools_.end(),
                                        [](const LendingPool &pool) { return pool.isSpare; });
        if (spare == pools_.end())
            return {};
        lend(*spare);
        reclaim(*spare);
        return std::move(moves_);
    }

private:
    bool isMovable(const LendingMember &member) const
    {
        return view_.now - member.movedAt >= view_.minMoveInterval;
    }

    void move(const LendingMember &member, LendingPool &from, LendingPool &to)
    {
        moves_.push_back({member.instance.id, from.name, to.name});
        --from.memberCount;
        ++to.arriving;
    }

    LendingPool *poolWithLargestShortage()
    {
        LendingPool *found = nullptr;
        for (LendingPool &pool : pools_) {
            if (!pool.isSpare && shortage(pool) > 0
                && (found == nullptr || shortage(pool) > shortage(*found)))
                found = &pool;
        }
        return found;
    }

    // The spare pool keeps the instances that it needs now. Otherwise a loan would have to return
    // immediately.
    void lend(LendingPool &spare)
    {
        for (const LendingMember &member : view_.lendable) {
            if (moves_.size() == limit_ || spare.available() <= spare.needed
                || !canLoseMember(spare))
                return;
            LendingPool *borrower = poolWithLargestShortage();
            if (borrower == nullptr)
                return;
            if (isMovable(member))
                move(member, spare, *borrower);
        }
    }

    // A pool with a shortage has no surplus, so one decision never both lends to a pool and
    // reclaims from it.
    void reclaim(LendingPool &spare)
    {
        const bool hasShortage = shortage(spare) > 0 || poolWithLargestShortage() != nullptr;
        for (const LendingMember &member : view_.lent) {
            if (moves_.size() == limit_)
                return;
            const auto borrower =
                    std::find_if(pools_.begin(), pools_.end(),
                                 [&](const LendingPool &pool) { return pool.name == member.pool; });
            if (borrower == pools_.end() || !isMovable(member) || !canLoseMember(*borrower))
                continue;
            const std::uint32_t kept = hasShortage
                                               ? borrower->needed
                                               : std::max(borrower->needed, borrower->recentPeak);
            if (borrower->available() > kept)
                move(member, *borrower, spare);
        }
    }

    const LendingView &view_;
    std::vector<LendingPool> pools_;
    std::size_t limit_;
    std::vector<InstanceMove> moves_;
};

} // namespace

std::uint32_t LendingPool::available() const
{
    const auto lost = static_cast<std::uint32_t>(unavailable.size());
    return memberCount > lost ? memberCount - lost : 0;
}

bool canLoseMember(const LendingPool &pool)
{
    return pool.available() > 0
           && pool.budget.violation(pool.unavailable, pool.memberCount - 1).empty();
}

std::vector<InstanceMove> decideLending(const LendingView &view, std::size_t limit)
{
    return LendingDecision(view, limit).decide();
}

} // namespace chicorywick::fleet
