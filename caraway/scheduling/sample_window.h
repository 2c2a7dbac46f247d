#pragma once
// A window of the newest duration samples, for quantiles.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "caraway/base/time.h"

namespace caraway {

struct SampleWindow
{
  std::vector<int64_t> mMicros; // a ring buffer once it holds kMaxSamples
  size_t mNext = 0; // index that the next sample overwrites once full
};

constexpr size_t kMaxSamples = 512;

void
AddSample(SampleWindow& aWindow, Duration aSample);

void
ClearSamples(SampleWindow& aWindow);

// Returns 0 if the window is empty.
Duration
SampleQuantile(const SampleWindow& aWindow, double aQuantile);

} // namespace caraway
