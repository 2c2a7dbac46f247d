// A window of the newest duration samples.

#include "caraway/scheduling/sample_window.h"

#include <algorithm>

namespace caraway {

void
AddSample(SampleWindow& aWindow, Duration aSample)
{
  if (aWindow.mMicros.size() < kMaxSamples) {
    aWindow.mMicros.push_back(aSample.mMicros);
    return;
  }
  aWindow.mMicros[aWindow.mNext] = aSample.mMicros;
  aWindow.mNext = (aWindow.mNext + 1) % kMaxSamples;
}

void
ClearSamples(SampleWindow& aWindow)
{
  aWindow.mMicros.clear();
  aWindow.mNext = 0;
}

Duration
SampleQuantile(const SampleWindow& aWindow, double aQuantile)
{
  if (aWindow.mMicros.empty()) {
    return {};
  }
  std::vector<int64_t> sorted = aWindow.mMicros;
  const size_t rank = std::min(
    sorted.size() - 1,
    static_cast<size_t>(aQuantile * static_cast<double>(sorted.size())));
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return { *middle };
}

} // namespace caraway
