#include "standin.h"

#include <chicorywick/platform/platform_server.h>
#include <chicorywick/twirp/listener.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace chicorywick::standin {

namespace {

using nlohmann::json;
using platform::MemoryPlatform;

platform::ListedInstance toInstance(const json &value)
{
    const std::string kind = value.at("kind");
    platform::ListedInstance instance;
    instance.id = value.at("id");
    instance.kind = kind == "entry"    ? platform::InstanceKind::Entry
                    : kind == "worker" ? platform::InstanceKind::Worker
                                       : platform::InstanceKind::Upstream;
    instance.address = value.value("address", "");
    instance.zone = value.at("zone");
    instance.rack = value.value("rack", "");
    instance.service = value.value("service", "");
    instance.capacity = {value.value("cpu_millis", 0U), value.value("memory_mib", 0U),
                         value.value("accelerators", 0U)};
    return instance;
}

platform::ServiceFaults toFaults(const json &value)
{
    platform::ServiceFaults faults;
    faults.down = value.value("down", false);
    faults.loseRequest = value.value("lose_request", 0.0);
    faults.loseAnswer = value.value("lose_answer", 0.0);
    faults.lateCommit = value.value("late_commit", 0.0);
    faults.delay = std::chrono::milliseconds(value.value("delay_ms", 0));
    return faults;
}

platform::FaultPlan toPlan(const json &value)
{
    const json none = json::object();
    platform::FaultPlan plan;
    plan.table = toFaults(value.value("table", none));
    plan.objects = toFaults(value.value("objects", none));
    plan.list = toFaults(value.value("list", none));
    plan.workers = toFaults(value.value("workers", none));
    plan.control = toFaults(value.value("control", none));
    for (const std::string zone : value.value("cut_zones", json::array()))
        plan.partitionedZones.insert(zone);
    return plan;
}

// Runs the change and reports malformed input or an unknown instance as 400.
httplib::Server::Handler guarded(std::function<void(const httplib::Request &)> change)
{
    return [change = std::move(change)](const httplib::Request &request,
                                        httplib::Response &response) {
        try {
            change(request);
        } catch (const std::exception &error) {
            constexpr int kBadRequest = 400;
            response.status = kBadRequest;
            response.set_content(error.what(), "text/plain");
        }
    };
}

void addControl(httplib::Server &server, const std::shared_ptr<MemoryPlatform> &platform)
{
    server.Post("/instances", guarded([platform](const httplib::Request &request) {
                    for (const json &value : json::parse(request.body))
                        platform->addInstance(toInstance(value));
                }));
    server.Post("/faults", guarded([platform](const httplib::Request &request) {
                    platform->setFaults(toPlan(json::parse(request.body)));
                }));
    server.Post("/fail/(.+)", guarded([platform](const httplib::Request &request) {
                    platform->failInstance(request.matches[1]);
                }));
    server.Post("/restore/(.+)", guarded([platform](const httplib::Request &request) {
                    platform->restoreInstance(request.matches[1]);
                }));
    server.Get("/boots/(.+)", [platform](const httplib::Request &request,
                                         httplib::Response &response) {
        const auto truth = platform->actualInstanceStates();
        const auto found = truth.find(request.matches[1]);
        const std::uint64_t boots = found == truth.end() ? 0 : found->second.status.boots;
        response.set_content(std::to_string(boots), "text/plain");
    });
    server.Get("/runs", [platform](const httplib::Request &, httplib::Response &response) {
        json runs = json::array();
        for (const platform::TaskRun &run : platform->taskRuns())
            runs.push_back({{"task", run.task}, {"worker", run.worker}});
        response.set_content(runs.dump(), "application/json");
    });
}

} // namespace

int servePlatform(const std::vector<std::string> &zones)
{
    const auto memory = std::make_shared<MemoryPlatform>();
    std::vector<std::unique_ptr<twirp::Listener>> listeners;
    for (const std::string &zone : zones) {
        constexpr int kThreads = 64;
        auto listener = twirp::Listener::open({.threads = kThreads},
                                              platform::makePlatformRouter(memory, zone));
        if (!listener) {
            std::cerr << listener.error().message << '\n';
            return 1;
        }
        std::cout << "zone " << zone << " " << listener.value()->port() << '\n';
        listeners.push_back(std::move(listener).value());
    }
    httplib::Server control;
    addControl(control, memory);
    const int port = control.bind_to_any_port("127.0.0.1");
    std::cout << "control " << port << "\nready" << std::endl;
    return control.listen_after_bind() ? 0 : 1;
}

} // namespace chicorywick::standin
