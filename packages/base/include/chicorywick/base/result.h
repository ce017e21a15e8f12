#pragma once

#include <chicorywick/base/code.h>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace chicorywick::base {

/// @brief A numbered error with a message that says what to change.
struct Error
{
    Code code;
    std::string message;

    bool operator==(const Error &) const = default;
};

/// @brief A value or an Error; reading the wrong one throws.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
        T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::throw_bad_result_access<Error, void>>;

/// @brief A successful Result<void>.
inline Result<void> ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// @brief An Error with the code's own text and an optional detail.
inline Error makeError(Code code, const std::string &detail = {})
{
    std::string message(codeInfo(code).text);
    if (!detail.empty())
        message += ": " + detail;
    return Error{code, std::move(message)};
}

} // namespace chicorywick::base
