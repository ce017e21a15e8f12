#include "large_configuration.h"

#include <cstddef>

namespace chicorywick::hosted {

namespace {

constexpr int kExtraRoutes = 1'400;
constexpr std::size_t kExtraHostBytes = 200;

} // namespace

std::string largeConfiguration(int version, bool allowsAnonymous)
{
    std::string routes = R"({"name":"r","host":"work.example","path_prefix":"/q/","service":"s",)"
                         R"("max_attempts":2,"stretch":1.6,"target_completion_ms":600,)"
                         R"("allow_anonymous":)";
    routes += allowsAnonymous ? "true}" : "false}";
    for (int route = 0; route < kExtraRoutes; ++route) {
        const std::string name = "extra-" + std::to_string(route);
        routes += R"(,{"name":")" + name + R"(","path_prefix":"/)" + name + R"(/","host":")"
                  + std::string(kExtraHostBytes, 'h') + R"(.example","service":"s"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
           + R"(],"services":[{"name":"s"}],"limits":{},"tenants":[{"name":"a","api_keys":["key-)"
           + std::to_string(version) + R"("]}]})";
}

} // namespace chicorywick::hosted
