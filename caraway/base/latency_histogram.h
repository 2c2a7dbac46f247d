#pragma once
// A histogram of durations with logarithmic bins, for metrics and reports.
// Boost.Histogram stands behind it and stays out of this header.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "caraway/base/time.h"

namespace caraway {

class LatencyHistogram
{
public:
  LatencyHistogram(); // 10 µs to 1,000 s, 5% wide bins
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram aOther) noexcept;
  ~LatencyHistogram();

  void Record(Duration aDuration);
  void Merge(const LatencyHistogram& aOther);
  uint64_t Count() const;
  Duration Mean() const;

  // The upper edge of the bin that holds the quantile, 0 when empty.
  Duration Quantile(double aQuantile) const;

  // Prometheus text: name_bucket, name_sum, name_count. aLabels is empty or
  // `kind="online"`.
  std::string PrometheusText(std::string_view aName,
                             std::string_view aLabels) const;

private:
  struct Storage;
  std::unique_ptr<Storage> mStorage;
};

} // namespace caraway
