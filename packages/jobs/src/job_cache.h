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

    /// @brief Replaces the jobs of a pool with the result of a complete scan.
    void replacePool(const std::string &pool, Jobs jobs);
    void keepPools(const std::set<std::string> &pools);
    /// @brief Stores a row; a finished job is removed.
    void put(const std::string &key, StoredJob stored);
    void drop(const std::string &pool, const std::string &key);
    const StoredJob *find(const std::string &key) const;

    const std::map<std::string, Jobs> &pools() const { return pools_; }
    std::size_t size() const;

private:
    std::map<std::string, Jobs> pools_;
};

} // namespace chicorywick::jobs
