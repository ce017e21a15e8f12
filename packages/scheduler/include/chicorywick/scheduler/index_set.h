#pragma once

#include <cstddef>
#include <initializer_list>
#include <map>
#include <optional>

namespace chicorywick::scheduler {

/// @brief A set of indices that takes memory for each run of successive ones.
class IndexSet
{
public:
    IndexSet() = default;
    IndexSet(std::initializer_list<int> indices)
    {
        for (const int index : indices)
            insert(index);
    }

    /// @brief The indices from 0 up to, and without, an end.
    static IndexSet below(int end);

    bool operator==(const IndexSet &) const = default;

    bool empty() const { return runs_.empty(); }
    std::size_t size() const { return size_; }
    bool contains(int index) const;

    /// @brief The smallest index that is larger than another one.
    std::optional<int> next(int after) const;

    /// @brief Adds an index; false if it is there already.
    bool insert(int index);
    /// @brief Removes an index; false if it is not there.
    bool erase(int index);
    void merge(const IndexSet &other);

    /// @brief First index and end of each run of successive indices.
    const std::map<int, int> &runs() const { return runs_; }

private:
    void insertRun(int first, int end);

    std::map<int, int> runs_;
    std::size_t size_ = 0;
};

} // namespace chicorywick::scheduler
