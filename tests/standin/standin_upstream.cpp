#include "standin.h"

#include <httplib.h>

#include <charconv>
#include <iostream>
#include <mutex>
#include <thread>

namespace chicorywick::standin {

namespace {

constexpr std::size_t kThreads = 96;
constexpr int kMaxSleepMs = 20'000;

int sleepMillis(const httplib::Request &request)
{
    const std::string text = request.get_header_value("X-Sleep-Ms");
    int millis = 0;
    std::from_chars(text.data(), text.data() + text.size(), millis);
    return std::min(std::max(millis, 0), kMaxSleepMs);
}

} // namespace

int serveUpstream(const std::string &id)
{
    std::mutex mutex;
    std::string record;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok", "text/plain");
    });
    server.Get("/record", [&](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(mutex);
        response.set_content(record, "text/plain");
    });
    const auto echo = [&](const httplib::Request &request, httplib::Response &response) {
        {
            const std::lock_guard lock(mutex);
            record += request.method + " " + request.path + " " + request.body + "\n";
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(sleepMillis(request)));
        response.set_header("X-Upstream", id);
        response.set_content(request.method + " " + request.path + " " + request.body,
                             "text/plain");
    };
    server.Get(".*", echo);
    server.Post(".*", echo);
    server.Put(".*", echo);
    const int port = server.bind_to_any_port("127.0.0.1");
    std::cout << "upstream " << port << "\nready" << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

} // namespace chicorywick::standin
