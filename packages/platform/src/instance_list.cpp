#include "wire_conversion.h"

#include <chicorywick/base/overloaded.h>
#include <chicorywick/platform/instance_list.h>
#include <chicorywick/platform/listing_cache.h>
#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::platform {

base::Result<InstanceListing> InstanceList::list() const
{
    using Outcome = base::Result<InstanceListing>;
    return std::visit(base::Overloaded{[](const twirp::Client &client) -> Outcome {
                                           BOOST_OUTCOME_TRY(
                                                   response,
                                                   client.call<v1::ListInstancesResponse>(
                                                           "chicorywick.v1.InstanceListService",
                                                           "List", v1::ListInstancesRequest()));
                                           return fromWire(response);
                                       },
                                       [](const std::shared_ptr<ListingCache> &cache) -> Outcome {
                                           return cache->list();
                                       },
                                       [](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->listInstances(memory.zone);
                                       }},
                      backend_);
}

} // namespace chicorywick::platform
