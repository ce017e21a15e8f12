#include <chicorywick/report/burn_chart.h>
#include <chicorywick/report/burn_rate.h>

#include <algorithm>
#include <sstream>

namespace chicorywick::report {

namespace {

// gnuplot interprets quotes, backslashes and line breaks; labels omit these and all other control
// characters.
std::string label(const std::string &text)
{
    std::string safe;
    std::copy_if(text.begin(), text.end(), std::back_inserter(safe),
                 [](char c) { return c >= ' ' && c != '"' && c != '\\'; });
    return safe;
}

std::string missingNote(const v1::BurnReport &report)
{
    std::string note;
    for (const std::string &zone : report.zones_missing())
        note += (note.empty() ? " (missing: " : ", ") + label(zone);
    return note.empty() ? note : note + ")";
}

} // namespace

std::string burnChartScript(const v1::BurnReport &report)
{
    std::ostringstream script;
    script << "$burn << EOD\nservice";
    for (const std::uint32_t minutes : windowMinutes())
        script << " \"" << minutes << " min\"";
    script << '\n';
    for (const v1::ServiceBurn &service : report.services()) {
        script << '"' << label(service.service()) << '"';
        for (const v1::BurnWindow &window : service.windows())
            script << ' ' << std::max(window.availability_burn(), window.latency_burn());
        script << '\n';
    }
    script << "EOD\n"
           << "set terminal svg size 900,420\n"
           << "set title \"Error budget burn by service and window" << missingNote(report) << "\"\n"
           << "set ylabel \"burn rate (1 = budget used over its period)\"\n"
           << "set style data histograms\n"
           << "set style fill solid 0.8\n"
           << "set yrange [0:*]\n"
           << "set key outside right\n"
           << "plot for [i=2:" << windowMinutes().size() + 1
           << "] $burn using i:xtic(1) title columnheader(i), 1 with lines dashtype 2 title "
              "\"budget\"\n";
    return script.str();
}

} // namespace chicorywick::report
