#pragma once
// The newest samples of a duration, for quantiles over a short past.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "caraway/base/time.h"

namespace caraway {

struct SampleWindow
{
  std::vector<int64_t> mMicros; // ring once full
  size_t mNext = 0;             // place of the next sample
};

constexpr size_t kMaxSamples = 512;

void
AddSample(SampleWindow& aWindow, Duration aSample);

void
ClearSamples(SampleWindow& aWindow);

// 0 when empty.
Duration
SampleQuantile(const SampleWindow& aWindow, double aQuantile);

} // namespace caraway
