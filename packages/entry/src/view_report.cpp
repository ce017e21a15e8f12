#include "view_report.h"

#include <chicorywick/base/log_event.h>

namespace chicorywick::entry {

void ViewReport::update(const ViewAge &age, scheduler::Millis now)
{
    const scheduler::Millis ageMs = now - age.knownUntil();
    const bool isOutdated = age.knownUntil() != 0 && ageMs > maxAgeMs_;
    if (isOutdated == isOutdated_)
        return;
    isOutdated_ = isOutdated;
    if (isOutdated)
        outdatedSince_ = now;
    base::logEvent(isOutdated ? base::Event::ViewOutdated : base::Event::ViewCurrent,
                   {{"view", view_},
                    {"cell", cell_},
                    {"age_ms", std::to_string(ageMs)},
                    {"outdated_ms", std::to_string(now - outdatedSince_)},
                    {"answer_ms", std::to_string(age.answerMs())},
                    {"failures", std::to_string(age.failures())}});
}

} // namespace chicorywick::entry
