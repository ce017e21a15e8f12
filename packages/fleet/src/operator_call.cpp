#include "operator_call.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace chicorywick::fleet {

base::Result<void> checkVersion(std::uint64_t expected, std::uint64_t stored,
                                const google::protobuf::Message &current,
                                const google::protobuf::Message &requested)
{
    if (expected == 0 || expected == stored)
        return base::ok();
    std::string difference;
    google::protobuf::util::MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&difference);
    differencer.Compare(current, requested);
    while (difference.ends_with('\n'))
        difference.pop_back();
    std::replace(difference.begin(), difference.end(), '\n', ';');
    return base::makeError(base::Code::VersionConflict,
                           "expected version " + std::to_string(expected)
                                   + ", but the stored version is " + std::to_string(stored)
                                   + "; changes from stored to requested: "
                                   + (difference.empty() ? "none" : difference));
}

} // namespace chicorywick::fleet
