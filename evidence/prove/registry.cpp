#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

std::vector<Proof> &registry()
{
    static std::vector<Proof> proofs;
    return proofs;
}

} // namespace

std::vector<Proof> allProofs()
{
    std::vector<Proof> proofs = registry();
    std::sort(proofs.begin(), proofs.end(),
              [](const Proof &left, const Proof &right) { return left.name < right.name; });
    return proofs;
}

Registration::Registration(Proof proof)
{
    registry().push_back(std::move(proof));
}

} // namespace chicorywick::prove
