#include "job_cache.h"

namespace chicorywick::jobs {

namespace {

std::string poolOf(const std::string &key)
{
    const std::size_t first = key.find('/') + 1;
    return key.substr(first, key.find('/', first) - first);
}

} // namespace

void JobCache::replacePool(const std::string &pool, Jobs jobs)
{
    pools_.insert_or_assign(pool, std::move(jobs));
}

void JobCache::keepPools(const std::set<std::string> &pools)
{
    std::erase_if(pools_, [&](const auto &entry) { return !pools.contains(entry.first); });
}

void JobCache::put(const std::string &key, StoredJob stored)
{
    const std::string pool = stored.job.spec().pool;
    if (isTerminal(stored.job.state())) {
        drop(pool, key);
        return;
    }
    stored.job = stored.job.withoutPayload();
    pools_[pool].insert_or_assign(key, std::move(stored));
}

void JobCache::drop(const std::string &pool, const std::string &key)
{
    const auto found = pools_.find(pool);
    if (found != pools_.end())
        found->second.erase(key);
}

const StoredJob *JobCache::find(const std::string &key) const
{
    const auto pool = pools_.find(poolOf(key));
    if (pool == pools_.end())
        return nullptr;
    const auto found = pool->second.find(key);
    return found == pool->second.end() ? nullptr : &found->second;
}

std::size_t JobCache::size() const
{
    std::size_t size = 0;
    for (const auto &[pool, jobs] : pools_)
        size += jobs.size();
    return size;
}

} // namespace chicorywick::jobs
