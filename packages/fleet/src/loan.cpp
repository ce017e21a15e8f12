#include "chicorywick/v1/loan.pb.h"

#include <chicorywick/fleet/loan.h>

namespace chicorywick::fleet {

base::Result<Loan> Loan::fromRow(const std::string &row)
{
    v1::LoanRow proto;
    if (!proto.ParseFromString(row))
        return base::makeError(base::Code::PlatformMalformedResponse, "loan row");
    return Loan{proto.instance(), proto.lender(), proto.borrower(), proto.moved_at_ms(),
                proto.returned()};
}

std::string Loan::toRow() const
{
    v1::LoanRow proto;
    proto.set_instance(instance);
    proto.set_lender(lender);
    proto.set_borrower(borrower);
    proto.set_moved_at_ms(movedAtMs);
    proto.set_returned(isReturned);
    return proto.SerializeAsString();
}

} // namespace chicorywick::fleet
