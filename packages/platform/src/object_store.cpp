#include "chicorywick/v1/platform.pb.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/overloaded.h>
#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/platform/object_store.h>

namespace chicorywick::platform {

namespace {

constexpr const char *kService = "chicorywick.v1.ObjectStoreService";

} // namespace

base::Result<void> ObjectStore::put(const std::string &name, const std::string &content) const
{
    using Outcome = base::Result<void>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::PutObjectRequest request;
                                           request.set_name(name);
                                           request.set_content(content);
                                           v1::PutObjectResponse response;
                                           return client.call(kService, "Put", request, response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->putObject(memory.zone, name,
                                                                             content);
                                       }},
                      backend_);
}

base::Result<std::string> ObjectStore::get(const std::string &name) const
{
    using Outcome = base::Result<std::string>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::GetObjectRequest request;
                                           request.set_name(name);
                                           BOOST_OUTCOME_TRY(response,
                                                             client.call<v1::GetObjectResponse>(
                                                                     kService, "Get", request));
                                           return response.content();
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->getObject(memory.zone, name);
                                       }},
                      backend_);
}

base::Result<void> ObjectStore::remove(const std::string &name) const
{
    using Outcome = base::Result<void>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::RemoveObjectRequest request;
                                           request.set_name(name);
                                           v1::RemoveObjectResponse response;
                                           return client.call(kService, "Remove", request,
                                                              response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->removeObject(memory.zone, name);
                                       }},
                      backend_);
}

std::string objectName(const std::string &prefix, const std::string &content)
{
    return prefix + "/" + base::digestHex(content);
}

} // namespace chicorywick::platform
