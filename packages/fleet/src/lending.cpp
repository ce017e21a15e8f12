#include <chicorywick/fleet/lending.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

std::uint32_t lack(const LendingPool &pool)
{
    const std::uint32_t expected = pool.available() + pool.arriving;
    return pool.needed > expected ? pool.needed - expected : 0;
}

/// @brief The pools as they change while moves are chosen.
class Lending
{
public:
    Lending(const LendingView &view, std::size_t limit)
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
        takeBack(*spare);
        return std::move(moves_);
    }

private:
    bool hasStayed(const LendingMember &member) const
    {
        return view_.now - member.movedAt >= view_.minStay;
    }

    void move(const LendingMember &member, LendingPool &from, LendingPool &to)
    {
        moves_.push_back({member.instance.id, from.name, to.name});
        --from.memberCount;
        ++to.arriving;
    }

    LendingPool *neediest()
    {
        LendingPool *found = nullptr;
        for (LendingPool &pool : pools_) {
            if (!pool.isSpare && lack(pool) > 0 && (found == nullptr || lack(pool) > lack(*found)))
                found = &pool;
        }
        return found;
    }

    // The spare pool keeps what it needs now: a loan that it lacks at once would have to return.
    void lend(LendingPool &spare)
    {
        for (const LendingMember &member : view_.lendable) {
            if (moves_.size() == limit_ || spare.available() <= spare.needed
                || !canLoseMember(spare))
                return;
            LendingPool *borrower = neediest();
            if (borrower == nullptr)
                return;
            if (hasStayed(member))
                move(member, spare, *borrower);
        }
    }

    // A pool that lacks instances has no surplus, so one decision never lends to a pool and takes
    // back from it.
    void takeBack(LendingPool &spare)
    {
        const bool isWanted = lack(spare) > 0 || neediest() != nullptr;
        for (const LendingMember &member : view_.lent) {
            if (moves_.size() == limit_)
                return;
            const auto borrower =
                    std::find_if(pools_.begin(), pools_.end(),
                                 [&](const LendingPool &pool) { return pool.name == member.pool; });
            if (borrower == pools_.end() || !hasStayed(member) || !canLoseMember(*borrower))
                continue;
            const std::uint32_t kept =
                    isWanted ? borrower->needed : std::max(borrower->needed, borrower->recentPeak);
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
           && pool.budget.excess(pool.unavailable, pool.memberCount - 1).empty();
}

std::vector<InstanceMove> decideLending(const LendingView &view, std::size_t limit)
{
    return Lending(view, limit).decide();
}

} // namespace chicorywick::fleet
