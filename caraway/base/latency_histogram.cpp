// Latency histograms, implemented with Boost.Histogram.

#include "caraway/base/latency_histogram.h"

#include <algorithm>
#include <array>

#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace bh = boost::histogram;

namespace {

constexpr double kLowestSeconds = 10e-6;
constexpr double kHighestSeconds = 1000;
constexpr unsigned kBins = 378; // bins 5% wide over eight decades

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeHistogram()
{
  return bh::make_histogram_with(std::vector<uint64_t>(),
                                 Axis(kBins, kLowestSeconds, kHighestSeconds));
}

using Histogram = decltype(MakeHistogram());

} // namespace

struct LatencyHistogram::Storage
{
  Histogram mHistogram = MakeHistogram();
  uint64_t mCount = 0;
  int64_t mSumMicros = 0;
};

LatencyHistogram::LatencyHistogram()
  : mStorage(std::make_unique<Storage>())
{
}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : mStorage(std::make_unique<Storage>(*aOther.mStorage))
{
}

LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;

LatencyHistogram&
LatencyHistogram::operator=(LatencyHistogram aOther) noexcept
{
  mStorage.swap(aOther.mStorage);
  return *this;
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Record(Duration aDuration)
{
  mStorage->mHistogram(std::max(aDuration.Seconds(), kLowestSeconds));
  ++mStorage->mCount;
  mStorage->mSumMicros += aDuration.mMicros;
}

void
LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  mStorage->mHistogram += aOther.mStorage->mHistogram;
  mStorage->mCount += aOther.mStorage->mCount;
  mStorage->mSumMicros += aOther.mStorage->mSumMicros;
}

uint64_t
LatencyHistogram::Count() const
{
  return mStorage->mCount;
}

Duration
LatencyHistogram::Mean() const
{
  if (mStorage->mCount == 0) {
    return {};
  }
  return { mStorage->mSumMicros / static_cast<int64_t>(mStorage->mCount) };
}

Duration
LatencyHistogram::Quantile(double aQuantile) const
{
  if (mStorage->mCount == 0) {
    return {};
  }
  const double wanted = aQuantile * static_cast<double>(mStorage->mCount);
  double seen = 0;
  for (auto&& bin : bh::indexed(mStorage->mHistogram, bh::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= wanted && seen > 0) {
      const double edge = std::min(bin.bin().upper(), kHighestSeconds);
      return { static_cast<int64_t>(edge * 1e6) };
    }
  }
  return { static_cast<int64_t>(kHighestSeconds * 1e6) };
}

std::string
LatencyHistogram::PrometheusText(std::string_view aName,
                                 std::string_view aLabels) const
{
  constexpr std::array kEdges{ 0.001, 0.005, 0.01, 0.025, 0.05, 0.075,
                               0.1,   0.25,  0.5,  0.75,  1.0,  2.5,
                               5.0,   10.0,  30.0, 60.0 };
  const absl::string_view name = AbslView(aName);
  const std::string prefix =
    aLabels.empty() ? "" : absl::StrCat(AbslView(aLabels), ",");
  const std::string braces =
    aLabels.empty() ? "" : absl::StrCat("{", AbslView(aLabels), "}");
  std::string text;
  uint64_t seen = 0;
  size_t edge = 0;
  for (auto&& bin : bh::indexed(mStorage->mHistogram, bh::coverage::all)) {
    while (edge < kEdges.size() && bin.bin().upper() > kEdges[edge]) {
      absl::StrAppend(
        &text, name, "_bucket{", prefix, "le=\"", kEdges[edge], "\"} ", seen);
      text += '\n';
      ++edge;
    }
    seen += *bin;
  }
  absl::StrAppend(
    &text, name, "_bucket{", prefix, "le=\"+Inf\"} ", mStorage->mCount, "\n");
  absl::StrAppend(&text,
                  name,
                  "_sum",
                  braces,
                  " ",
                  static_cast<double>(mStorage->mSumMicros) / 1e6,
                  "\n");
  absl::StrAppend(&text, name, "_count", braces, " ", mStorage->mCount, "\n");
  return text;
}

} // namespace caraway
