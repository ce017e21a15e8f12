#include <chicorywick/scheduler/task_id.h>

#include <charconv>
#include <limits>

namespace chicorywick::scheduler {

std::string TaskId::text() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.'
           + std::to_string(index);
}

std::optional<TaskId> parseTaskId(const std::string &text)
{
    const std::size_t first = text.find('.');
    if (first == std::string::npos || first == 0)
        return std::nullopt;
    TaskId id{.job = text.substr(0, first)};
    std::int64_t numbers[3] = {};
    const char *position = text.data() + first;
    const char *last = text.data() + text.size();
    for (std::int64_t &number : numbers) {
        if (position == last || *position != '.')
            return std::nullopt;
        const auto [end, error] = std::from_chars(position + 1, last, number);
        if (error != std::errc() || number < 0)
            return std::nullopt;
        position = end;
    }
    constexpr std::int64_t kMaxNumber = std::numeric_limits<int>::max();
    if (position != last || numbers[1] > kMaxNumber || numbers[2] > kMaxNumber)
        return std::nullopt;
    id.occurrence = numbers[0];
    id.step = static_cast<int>(numbers[1]);
    id.index = static_cast<int>(numbers[2]);
    return id;
}

} // namespace chicorywick::scheduler
