#include "record.h"

namespace chicorywick::review {

Record::Record(const std::string &file)
    : file_(file)
{}

std::int64_t Record::elapsedMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start_)
            .count();
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    file_ << elapsedMs() << " " << line << std::endl;
}

void Record::addBreach(const std::string &rule, const std::string &what)
{
    add("BROKEN " + rule + ": " + what);
    const std::lock_guard lock(mutex_);
    ++breaches_;
}

int Record::breaches() const
{
    const std::lock_guard lock(mutex_);
    return breaches_;
}

} // namespace chicorywick::review
