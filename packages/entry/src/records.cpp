#include <chicorywick/entry/records.h>

#include <nlohmann/json.hpp>

#include <array>

namespace chicorywick::entry {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, 5> kStateNames = {"pending", "running", "completed", "failed",
                                                     "cancelled"};

// Rows may have been written by another software version, so a mismatch is an error, not a crash.
template <typename T, typename Read>
base::Result<T> decodeWith(const std::string &text, const char *what, Read read)
{
    try {
        return read(Json::parse(text));
    } catch (const Json::exception &error) {
        return base::makeError(base::Code::PlatformMalformedResponse,
                               std::string(what) + ": " + error.what());
    }
}

void putUnlessDefault(Json &object, const char *key, const Json &value, const Json &fallback)
{
    if (value != fallback)
        object[key] = value;
}

Json encodeStep(const scheduler::StepSpec &step)
{
    Json json{{"tasks", step.taskCount},
              {"cpu", step.demand.cpuMillis},
              {"memory", step.demand.memoryMib},
              {"estimate", step.estimatedMs}};
    putUnlessDefault(json, "accelerators", step.demand.accelerators, 0);
    putUnlessDefault(json, "after", step.after, Json::array());
    putUnlessDefault(json, "checkpoints", step.isCheckpointing, false);
    putUnlessDefault(json, "gang", step.isGang, false);
    putUnlessDefault(json, "oneRack", step.needsOneRack, false);
    putUnlessDefault(json, "copies", step.allowsCopies, false);
    putUnlessDefault(json, "perpetual", step.isPerpetual, false);
    putUnlessDefault(json, "leftover", step.usesLeftoverCpu, false);
    putUnlessDefault(json, "label", step.requiredLabel, "");
    putUnlessDefault(json, "rack", step.preferredRack, "");
    putUnlessDefault(json, "image", step.image, "");
    putUnlessDefault(json, "perWorker", step.maxPerWorker, 0);
    putUnlessDefault(json, "latency", step.latencyTargetMs, 0);
    putUnlessDefault(json, "unavailable", step.maxUnavailable, 0);
    return json;
}

scheduler::StepSpec decodeStep(const Json &json)
{
    return {.taskCount = json.at("tasks"),
            .demand = {.cpuMillis = json.at("cpu"),
                       .memoryMib = json.at("memory"),
                       .accelerators = json.value("accelerators", std::int64_t{0})},
            .estimatedMs = json.at("estimate"),
            .after = json.value("after", std::vector<int>()),
            .isCheckpointing = json.value("checkpoints", false),
            .isGang = json.value("gang", false),
            .needsOneRack = json.value("oneRack", false),
            .allowsCopies = json.value("copies", false),
            .isPerpetual = json.value("perpetual", false),
            .usesLeftoverCpu = json.value("leftover", false),
            .requiredLabel = json.value("label", ""),
            .preferredRack = json.value("rack", ""),
            .image = json.value("image", ""),
            .maxPerWorker = json.value("perWorker", 0),
            .latencyTargetMs = json.value("latency", scheduler::Millis{0}),
            .maxUnavailable = json.value("unavailable", 0)};
}

Json encodePolicy(const scheduler::QueuePolicy &policy)
{
    return {{"service", policy.service},           {"priority", policy.priority},
            {"attempts", policy.maxAttempts},      {"stretch", policy.stretch},
            {"target", policy.targetCompletionMs}, {"advice", policy.needsAdvice}};
}

scheduler::QueuePolicy decodePolicy(const std::string &queue, const Json &json)
{
    return {.name = queue,
            .service = json.at("service"),
            .priority = json.at("priority"),
            .maxAttempts = json.at("attempts"),
            .stretch = json.at("stretch"),
            .targetCompletionMs = json.at("target"),
            .needsAdvice = json.at("advice")};
}

} // namespace

const char *jobStateName(scheduler::JobState state)
{
    return kStateNames[static_cast<std::size_t>(state)];
}

std::string encode(const LeaderRecord &record)
{
    Json json{{"holder", record.holder},       {"peer", record.peerAddress},
              {"term", record.term},           {"beat", record.heartbeat},
              {"lease", record.workerLeaseMs}, {"memory", record.memoryMib},
              {"most", record.maxMemoryMib},   {"cells", record.heldCells}};
    putUnlessDefault(json, "waiting", record.waitingJobs, Json::object());
    for (const auto &[pool, shortage] : record.machines.shortages)
        json["short"][pool] = {shortage.total, shortage.urgent, shortage.blocked};
    putUnlessDefault(json, "lendable", record.machines.lendable, 0);
    for (const auto &[account, need] : record.accounts)
        json["accounts"][account] = {need.demand, need.smallest};
    putUnlessDefault(json, "backlog_ms", record.backlogs, Json::object());
    putUnlessDefault(json, "job_bytes", record.jobMemory.total, 0);
    putUnlessDefault(json, "job_bytes_by", record.jobMemory.byHolder, Json::object());
    if (record.reservedMachines) {
        json["reserved"] = record.reservedMachines->waitMs;
        putUnlessDefault(json, "reserved_all", record.reservedMachines->waitOfAllMs, 0);
    }
    putUnlessDefault(json, "transfers", record.transfersKnownUntil, 0);
    return json.dump();
}

base::Result<LeaderRecord> decodeLeader(const std::string &text)
{
    return decodeWith<LeaderRecord>(text, "leader row", [](const Json &json) {
        LeaderRecord record{.holder = json.at("holder"),
                            .peerAddress = json.at("peer"),
                            .term = json.at("term"),
                            .heartbeat = json.at("beat"),
                            .workerLeaseMs = json.value("lease", std::int64_t{0}),
                            .memoryMib = json.value("memory", std::int64_t{0}),
                            .maxMemoryMib = json.value("most", std::int64_t{0}),
                            .heldCells = json.value("cells", 0),
                            .waitingJobs = json.value("waiting", std::map<std::string, int>()),
                            .machines = {.lendable = json.value("lendable", 0)}};
        const Json shortages = json.value("short", Json::object());
        for (const auto &[pool, shortage] : shortages.items())
            record.machines.shortages[pool] = {
                    .total = shortage.at(0), .urgent = shortage.at(1), .blocked = shortage.at(2)};
        record.backlogs = json.value("backlog_ms", std::map<std::string, scheduler::Millis>());
        record.jobMemory.total = json.value("job_bytes", std::int64_t{0});
        record.jobMemory.byHolder =
                json.value("job_bytes_by", std::map<std::string, std::int64_t>());
        const Json accounts = json.value("accounts", Json::object());
        for (const auto &[account, need] : accounts.items())
            record.accounts[account] = {.demand = need.at(0), .smallest = need.at(1)};
        if (json.contains("reserved"))
            record.reservedMachines = {.waitMs = json.at("reserved"),
                                       .waitOfAllMs =
                                               json.value("reserved_all", scheduler::Millis{0})};
        record.transfersKnownUntil = json.value("transfers", Version{0});
        return record;
    });
}

std::string encode(const scheduler::JobSpec &spec)
{
    Json json{{"id", spec.id},
              {"queue", spec.queue},
              {"payload", spec.payload},
              {"submitted", spec.submittedWall},
              {"steps", Json::array()}};
    for (const scheduler::StepSpec &step : spec.steps)
        json["steps"].push_back(encodeStep(step));
    putUnlessDefault(json, "account", spec.account, "");
    if (spec.acceptedPolicy)
        json["policy"] = encodePolicy(*spec.acceptedPolicy);
    if (spec.repeatCount > 0) {
        json["repeat"] = spec.repeatCount;
        json["first"] = spec.firstStartWall;
        json["interval"] = spec.intervalMs;
    }
    return json.dump();
}

base::Result<scheduler::JobSpec> decodeJob(const std::string &text)
{
    return decodeWith<scheduler::JobSpec>(text, "job row", [](const Json &json) {
        scheduler::JobSpec spec{.id = json.at("id"),
                                .queue = json.at("queue"),
                                .account = json.value("account", ""),
                                .payload = json.at("payload"),
                                .repeatCount = json.value("repeat", std::int64_t{0}),
                                .firstStartWall = json.value("first", scheduler::Millis{0}),
                                .intervalMs = json.value("interval", scheduler::Millis{0}),
                                .submittedWall = json.at("submitted")};
        for (const Json &step : json.at("steps"))
            spec.steps.push_back(decodeStep(step));
        if (json.contains("policy"))
            spec.acceptedPolicy = decodePolicy(spec.queue, json.at("policy"));
        return spec;
    });
}

std::string encode(const scheduler::JobProgress &progress)
{
    Json json{{"state", jobStateName(progress.state)}, {"begun", progress.begunOccurrences}};
    putUnlessDefault(json, "services", progress.services, Json::array());
    for (const scheduler::OccurrenceProgress &open : progress.open) {
        Json each{{"number", open.number}, {"done", Json::array()}};
        for (const scheduler::IndexSet &step : open.doneTasks) {
            Json indices = Json::array();
            for (auto index = step.next(-1); index; index = step.next(*index))
                indices.push_back(*index);
            each["done"].push_back(std::move(indices));
        }
        for (const auto &[task, runs] : open.failedRuns)
            each["failed"].push_back({task.first, task.second, runs});
        for (const auto &[task, crashes] : open.crashes)
            each["crashed"].push_back(
                    {task.first, task.second, crashes.runs, crashes.startingRuns});
        json["open"].push_back(std::move(each));
    }
    return json.dump();
}

std::string encodeWithin(const scheduler::JobProgress &progress, std::size_t maxBytes)
{
    std::string text = encode(progress);
    if (text.size() <= maxBytes)
        return text;
    scheduler::JobProgress reduced = progress;
    for (scheduler::OccurrenceProgress &open : reduced.open) {
        std::erase_if(open.failedRuns, [](const auto &item) { return item.second.size() <= 1; });
        std::erase_if(open.crashes, [](const auto &item) { return item.second.runs.size() <= 1; });
    }
    text = encode(reduced);
    if (text.size() <= maxBytes)
        return text;
    for (scheduler::OccurrenceProgress &open : reduced.open) {
        open.failedRuns.clear();
        open.crashes.clear();
    }
    return encode(reduced);
}

base::Result<scheduler::JobProgress> decodeProgress(const std::string &text)
{
    return decodeWith<scheduler::JobProgress>(text, "progress row", [](const Json &json) {
        scheduler::JobProgress progress{.begunOccurrences = json.at("begun"),
                                        .services =
                                                json.value("services", std::set<std::string>())};
        const std::string name = json.at("state");
        for (std::size_t i = 0; i < kStateNames.size(); ++i)
            if (name == kStateNames[i])
                progress.state = static_cast<scheduler::JobState>(i);
        for (const Json &each : json.value("open", Json::array())) {
            scheduler::OccurrenceProgress open{.number = each.at("number")};
            for (const Json &step : each.at("done")) {
                scheduler::IndexSet &done = open.doneTasks.emplace_back();
                for (const Json &index : step)
                    done.insert(index.get<int>());
            }
            for (const Json &failed : each.value("failed", Json::array()))
                open.failedRuns[{failed.at(0).get<int>(), failed.at(1).get<int>()}] =
                        failed.at(2).get<std::set<std::int64_t>>();
            for (const Json &crashed : each.value("crashed", Json::array()))
                open.crashes[{crashed.at(0).get<int>(), crashed.at(1).get<int>()}] = {
                        .runs = crashed.at(2).get<std::set<std::int64_t>>(),
                        .startingRuns = crashed.at(3).get<std::set<std::int64_t>>()};
            progress.open.push_back(std::move(open));
        }
        return progress;
    });
}

std::string encode(const std::vector<scheduler::WorkerEntry> &roster)
{
    Json json = Json::array();
    for (const scheduler::WorkerEntry &entry : roster) {
        json.push_back({entry.id, entry.service, entry.address, entry.machine, entry.incarnation});
        if (entry.hasRestarted)
            json.back().push_back(true);
    }
    return json.dump();
}

base::Result<std::vector<scheduler::WorkerEntry>> decodeRoster(const std::string &text)
{
    using Roster = std::vector<scheduler::WorkerEntry>;
    return decodeWith<Roster>(text, "roster row", [](const Json &json) {
        constexpr std::size_t kRequiredColumns = 5;
        Roster roster;
        for (const Json &each : json)
            roster.push_back({.id = each.at(0),
                              .service = each.at(1),
                              .address = each.at(2),
                              .machine = each.at(3),
                              .incarnation = each.at(4),
                              .hasRestarted = each.size() > kRequiredColumns && each.at(5)});
        return roster;
    });
}

std::string encode(const CellLayout &layout)
{
    return Json{{"cells", layout.count()}, {"racks", layout.cellByRack()}}.dump();
}

base::Result<CellLayout> decodeCellLayout(const std::string &text)
{
    return decodeWith<CellLayout>(text, "cell layout", [](const Json &json) {
        return CellLayout(json.at("cells"), json.at("racks"));
    });
}

std::string encode(const MachineTransfer &transfer)
{
    Json json{{"cell", transfer.cell},
              {"pool", transfer.pool},
              {"fence", transfer.minFence},
              {"writer", transfer.writer}};
    putUnlessDefault(json, "waves", transfer.maintainedFor, Json::array());
    return json.dump();
}

base::Result<MachineTransfer> decodeMachineTransfer(const std::string &text)
{
    return decodeWith<MachineTransfer>(text, "machine row", [](const Json &json) {
        return MachineTransfer{.cell = json.at("cell"),
                               .pool = json.at("pool"),
                               .minFence = json.at("fence"),
                               .maintainedFor = json.value("waves", std::set<std::int64_t>()),
                               .writer = json.at("writer")};
    });
}

std::string encode(const QuotaShares &shares)
{
    return Json{{"shares", shares.shares}, {"writer", shares.writer}}.dump();
}

base::Result<QuotaShares> decodeQuotaShares(const std::string &text)
{
    return decodeWith<QuotaShares>(text, "quota row", [](const Json &json) {
        return QuotaShares{.shares = json.at("shares"), .writer = json.at("writer")};
    });
}

std::string encode(const WaveProgress &progress)
{
    return Json{{"started", progress.startedMachines}, {"done", progress.isDone}}.dump();
}

base::Result<WaveProgress> decodeWaveProgress(const std::string &text)
{
    return decodeWith<WaveProgress>(text, "wave row", [](const Json &json) {
        return WaveProgress{.startedMachines = json.at("started"), .isDone = json.at("done")};
    });
}

} // namespace chicorywick::entry
