#pragma once

#include <chicorywick/jobs/job_repository.h>

#include <map>
#include <set>

namespace chicorywick::jobs {

/// @brief The unfinished jobs of a driver's pools as last read or written, without payloads.
class JobCache
{
public:
    using Jobs = std::map<std::string, StoredJob>;

    /// @brief Takes a complete scan of a pool.
    void replacePool(const std::string &pool, Jobs jobs);
    void keepPools(const std::set<std::string> &pools);
    /// @brief Takes a row; a finished job is dropped.
    void put(const std::string &key, StoredJob stored);
    void drop(const std::string &pool, const std::string &key);
    const StoredJob *find(const std::string &key) const;

    const std::map<std::string, Jobs> &pools() const { return pools_; }
    std::size_t size() const;

private:
    std::map<std::string, Jobs> pools_;
};

} // namespace chicorywick::jobs
