#pragma once

namespace chicorywick::base {

/// @brief Combines lambdas into one visitor for std::visit.
template <typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace chicorywick::base
