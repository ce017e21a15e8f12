#pragma once

#include <chicorywick/base/code.h>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace chicorywick::base {

/// @brief A result code and a message that says what to correct.
struct Error
{
    Code code;
    std::string message;

    bool operator==(const Error &) const = default;
};

/// @brief A value or an Error; access to the absent one throws.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
        T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::throw_bad_result_access<Error, void>>;

/// @brief A successful Result<void>.
inline Result<void> ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// @brief Creates an Error from the catalogue text of the code and an optional detail.
inline Error makeError(Code code, const std::string &detail = {})
{
    std::string message(codeInfo(code).text);
    if (!detail.empty())
        message += ": " + detail;
    return Error{code, std::move(message)};
}

} // namespace chicorywick::base
