#pragma once
// A histogram of durations with logarithmic bins, for metrics and reports. The
// implementation uses Boost.Histogram, which this header does not include.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "caraway/base/time.h"

namespace caraway {

class LatencyHistogram
{
public:
  LatencyHistogram(); // 10 µs to 1,000 s in bins 5% wide
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram aOther) noexcept;
  ~LatencyHistogram();

  void Record(Duration aDuration);
  void Merge(const LatencyHistogram& aOther);
  uint64_t Count() const;
  Duration Mean() const;

  // The upper edge of the bin with the quantile, 0 if the histogram is empty.
  Duration Quantile(double aQuantile) const;

  // Prometheus text: name_bucket, name_sum, name_count. aLabels is empty or a
  // list such as `kind="online"`.
  std::string PrometheusText(std::string_view aName,
                             std::string_view aLabels) const;

private:
  struct Storage;
  std::unique_ptr<Storage> mStorage;
};

} // namespace caraway
