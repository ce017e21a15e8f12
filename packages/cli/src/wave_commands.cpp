#include "chicorywick/v1/fleet_service.pb.h"

#include <chicorywick/cli/command.h>
#include <chicorywick/cli/wait.h>

#include <sstream>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "WaveService";
constexpr std::uint64_t kDefaultWaitSeconds = 3600;

std::string stateText(v1::WaveState state)
{
    return v1::WaveState_Name(state).substr(std::string("WAVE_STATE_").size());
}

TextTable waveListTable(const google::protobuf::RepeatedPtrField<v1::Wave> &waves)
{
    TextTable table{{"WAVE", "POOL", "STATE", "TOTAL", "ACTIVE", "DONE", "HELD", "EXPECTED END",
                     "VERSION", "REASON"},
                    {}};
    for (const v1::Wave &wave : waves) {
        const v1::WaveRow &row = wave.row();
        table.rows.push_back({row.id(), row.pool(), stateText(row.state()),
                              std::to_string(row.total()), std::to_string(row.active_size()),
                              std::to_string(row.done()), std::to_string(row.held_size()),
                              formatTime(wave.expected_end_ms()), std::to_string(wave.version()),
                              row.reason().empty() ? "-" : row.reason()});
    }
    return table;
}

TextTable waveTable(const v1::Wave &wave)
{
    v1::ListWavesResponse list;
    *list.add_waves() = wave;
    return waveListTable(list.waves());
}

ExitCode create(Session &session, const Arguments &arguments)
{
    v1::CreateWaveRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    request.set_pool(arguments.positional()[1]);
    std::istringstream instances(arguments.text("instances"));
    for (std::string id; std::getline(instances, id, ',');)
        request.add_instances(id);
    constexpr std::uint64_t kDefaultDrainSeconds = 300;
    constexpr std::uint64_t kDefaultHaltAfter = 3;
    constexpr std::int64_t kMillisPerSecond = 1000;
    request.set_drain_deadline_ms(
            kMillisPerSecond
            * static_cast<std::int64_t>(arguments.number("drain-seconds", kDefaultDrainSeconds)));
    request.set_halt_after_failures(
            static_cast<std::uint32_t>(arguments.number("halt-after", kDefaultHaltAfter)));
    request.set_dry_run(arguments.has("dry-run"));
    return session.callAndShow<v1::Wave>(kService, "CreateWave", request, waveTable);
}

auto waveAction(const char *method)
{
    return [method](Session &session, const Arguments &arguments) {
        v1::WaveRequest request;
        request.set_request_id(requestId(arguments));
        request.set_id(arguments.positional()[0]);
        request.set_expected_version(arguments.number("expected-version"));
        request.set_dry_run(arguments.has("dry-run"));
        return session.callAndShow<v1::Wave>(kService, method, request, waveTable);
    };
}

ExitCode show(Session &session, const Arguments &arguments)
{
    v1::GetWaveRequest request;
    request.set_id(arguments.positional()[0]);
    return session.callAndShow<v1::Wave>(kService, "GetWave", request, waveTable);
}

ExitCode list(Session &session, const Arguments &)
{
    return session.callAndShow<v1::ListWavesResponse>(
            kService, "ListWaves", v1::ListWavesRequest(),
            [](const v1::ListWavesResponse &response) { return waveListTable(response.waves()); });
}

bool hasEnded(v1::WaveState state)
{
    return state == v1::WAVE_STATE_COMPLETED || state == v1::WAVE_STATE_ABORTED
           || state == v1::WAVE_STATE_HALTED;
}

WaitStatus toWaitStatus(const v1::Wave &wave)
{
    const v1::WaveRow &row = wave.row();
    std::ostringstream progress;
    progress << row.id() << ": " << stateText(row.state()) << ", " << row.done() << " of "
             << row.total() << " done, " << row.active_size() << " active, " << row.held_size()
             << " held";
    if (!row.reason().empty())
        progress << ", " << row.reason();
    return {.ended = hasEnded(row.state()),
            .succeeded = row.state() == v1::WAVE_STATE_COMPLETED && row.held_size() == 0,
            .progress = progress.str()};
}

ExitCode wait(Session &session, const Arguments &arguments)
{
    v1::GetWaveRequest request;
    request.set_id(arguments.positional()[0]);
    v1::Wave wave;
    const ExitCode code =
            waitForEnd(session, std::chrono::seconds(arguments.number("for", kDefaultWaitSeconds)),
                       [&]() -> base::Result<WaitStatus> {
                           BOOST_OUTCOME_TRYV(session.call(kService, "GetWave", request, wave));
                           return toWaitStatus(wave);
                       });
    if (code == ExitCode::Ok || code == ExitCode::WaitTargetFailed)
        session.show(wave, waveTable(wave));
    return code;
}

} // namespace

std::vector<Command> waveCommands()
{
    const std::vector<OptionSpec> actionOptions{requestIdOption(), expectedVersionOption(),
                                                dryRunOption()};
    return {{"wave",
             "create",
             {"ID", "POOL"},
             "Start a maintenance wave over a pool",
             {{"instances", OptionKind::Text, "Only these members of the pool", "ID[,ID...]"},
              {"drain-seconds", OptionKind::Number,
               "Time that work on an instance gets to finish (default 300)"},
              {"halt-after", OptionKind::Number,
               "Failed instances after which the wave halts (default 3)"},
              requestIdOption(),
              dryRunOption()},
             create},
            {"wave",
             "pause",
             {"ID"},
             "Start no further instance",
             actionOptions,
             waveAction("PauseWave")},
            {"wave",
             "resume",
             {"ID"},
             "Go on with a paused or halted wave",
             actionOptions,
             waveAction("ResumeWave")},
            {"wave",
             "abort",
             {"ID"},
             "Bring started instances back and end the wave",
             actionOptions,
             waveAction("AbortWave")},
            {"wave", "show", {"ID"}, "Show a wave", {}, show},
            {"wave", "list", {}, "List all waves", {}, list},
            {"wave",
             "wait",
             {"ID"},
             "Show progress until the wave ends",
             {{"for", OptionKind::Number, "Seconds to wait at most (default 3600)"}},
             wait}};
}

} // namespace chicorywick::cli
