#include "view_report.h"

#include <chicorywick/base/log_event.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace chicorywick::entry {

namespace {

/// @brief The names of the views in the events, each with "+" or "-" for current or outdated.
std::vector<std::string> &reported()
{
    static std::vector<std::string> views;
    return views;
}

} // namespace

// Guards against a daemon that acts on an old view of workers, leaders or the configuration without
// a line in its log.
TEST_CASE("a view is reported once when it is outdated and once when it is current again")
{
    reported().clear();
    base::setEventWriter(
            [](base::Event event, std::initializer_list<base::LogField> fields, base::LogPriority) {
                reported().push_back((event == base::Event::ViewCurrent ? "+" : "-")
                                     + fields.begin()->value);
            });
    constexpr scheduler::Millis kMaxAgeMs = 100;
    ViewReport report("workers", 0, kMaxAgeMs);
    ViewAge age;
    report.update(age, 1'000); // never read
    CHECK(!report.isOutdated());
    age.recordAnswer(1'000, 1'001);
    for (const scheduler::Millis now : {1'100, 1'101, 1'200})
        report.update(age, now);
    CHECK(report.isOutdated());
    age.recordAnswer(1'200, 1'201);
    report.update(age, 1'201);
    CHECK(!report.isOutdated());
    base::setEventWriter({});
    CHECK(reported() == std::vector<std::string>{"-workers", "+workers"});
}

} // namespace chicorywick::entry
