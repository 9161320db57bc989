#ifndef BASILSILL_BENCH_MODEL_RANDOM_H_
#define BASILSILL_BENCH_MODEL_RANDOM_H_

#include <cmath>
#include <cstddef>
#include <cstdint>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <pcg_random.hpp>

#include "basilsill/base/time.h"

/// Random draws of the policy benchmark. Every random stream has a fixed seed,
/// and the draws for a request do not depend on the strategy under test.

namespace basilsill::bench {

using Random = pcg32;

inline size_t DrawIndex(Random& random, size_t count) {
  return boost::random::uniform_int_distribution<size_t>(0, count - 1)(random);
}

inline double DrawUnit(Random& random) {
  return boost::random::uniform_01<double>()(random);
}

/// @returns `milliseconds` as a Duration.
inline Duration Milliseconds(double milliseconds) {
  return Duration(static_cast<int64_t>(milliseconds * 1e6));
}

inline double InMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

inline double InSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e9;
}

/// @returns the time to the next event of a Poisson process.
inline Duration DrawGap(Random& random, double per_second) {
  const boost::random::exponential_distribution<double> gap(per_second);
  return Milliseconds(gap(random) * 1e3);
}

/// @param mean Mean of the lognormal distribution itself.
/// @param sigma Standard deviation of the logarithm.
inline Duration DrawLognormal(Random& random, Duration mean, double sigma) {
  const double mu = std::log(InMilliseconds(mean)) - sigma * sigma / 2;
  boost::random::lognormal_distribution<double> demand(mu, sigma);
  return Milliseconds(demand(random));
}

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_RANDOM_H_
