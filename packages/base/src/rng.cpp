#include <chicorywick/base/rng.h>

#include <cmath>

namespace chicorywick::base {

double Rng::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

} // namespace chicorywick::base
