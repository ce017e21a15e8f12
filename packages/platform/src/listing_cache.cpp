#include <chicorywick/platform/listing_cache.h>

namespace chicorywick::platform {

ListingCache::ListingCache(InstanceList source, base::Clock clock, base::Duration maxAge)
    : source_(std::move(source))
    , clock_(std::move(clock))
    , maxAge_(maxAge)
{}

// The lock is held during the read so that concurrent callers share its result. If the clock steps
// back, the age is negative and the list is read again.
base::Result<InstanceListing> ListingCache::list()
{
    const std::lock_guard lock(mutex_);
    const base::Duration age = clock_.now() - readAt_;
    if (listing_ && age >= base::Duration::zero() && age < maxAge_)
        return *listing_;
    auto listing = source_.list();
    if (listing) {
        listing_ = listing.value();
        readAt_ = clock_.now();
    }
    return listing;
}

} // namespace chicorywick::platform
