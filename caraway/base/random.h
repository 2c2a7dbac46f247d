#pragma once
// Seeded random numbers for decisions. The results of the standard
// distributions depend on the platform, so the two that decisions need are
// defined here on std::mt19937_64.

#include <cstdint>
#include <random>

namespace caraway {

struct Random
{
  std::mt19937_64 mEngine;

  explicit Random(uint64_t aSeed = 1)
    : mEngine(aSeed)
  {
  }
};

// Uniform in [0, aBound). aBound must be greater than zero.
inline uint64_t
DrawBelow(Random& aRandom, uint64_t aBound)
{
  return aRandom.mEngine() % aBound;
}

// Uniform in [0, 1).
inline double
DrawUnit(Random& aRandom)
{
  return static_cast<double>(aRandom.mEngine() >> 11) * 0x1.0p-53;
}

} // namespace caraway
