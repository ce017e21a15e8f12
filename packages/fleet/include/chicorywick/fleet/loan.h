#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>

#include <string>

namespace chicorywick::fleet {

/// @brief The last move of an instance by a buffer driver. It is invalid if an operator has moved
/// the instance since.
struct Loan
{
    std::string instance;
    std::string lender;
    std::string borrower;
    std::int64_t movedAtMs = 0;
    bool isReturned = false;

    static base::Result<Loan> fromRow(const std::string &row);
    std::string toRow() const;

    /// @brief Destination pool of the last move.
    const std::string &pool() const { return isReturned ? lender : borrower; }

    bool operator==(const Loan &) const = default;
};

} // namespace chicorywick::fleet
