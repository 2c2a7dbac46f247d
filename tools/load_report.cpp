// Renders a load run as a single HTML document with inline SVG plots.

#include <algorithm>
#include <cmath>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "tools/load_result.h"

namespace caraway {

namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 260;
constexpr double kLeft = 60;
constexpr double kTop = 20;
constexpr double kBottom = 30;
constexpr size_t kBuckets = 60; // time buckets over the whole run
constexpr const char* kColours[] = {
  "#1b6ca8", "#c8553d", "#3a7d44", "#8e5572",
  "#b8860b", "#4a4e69", "#0f8b8d", "#a23b72"
};

struct Series
{
  std::string mName;
  std::vector<std::pair<double, double>> mPoints; // (seconds, value)
};

std::string
EscapeHtml(const std::string& aText)
{
  return absl::StrReplaceAll(
    aText,
    { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

double
RunSeconds(const LoadResult& aResult)
{
  return std::max(0.001, aResult.mLength.Seconds());
}

size_t
BucketOf(const LoadResult& aResult, Duration aAt)
{
  const double part = aAt.Seconds() / RunSeconds(aResult);
  return std::min(kBuckets - 1,
                  static_cast<size_t>(std::max(0.0, part) * kBuckets));
}

double
BucketMidpoint(const LoadResult& aResult, size_t aBucket)
{
  return (static_cast<double>(aBucket) + 0.5) * RunSeconds(aResult) / kBuckets;
}

std::string
RenderMarks(const LoadResult& aResult)
{
  std::string svg;
  for (const LoadMark& mark : aResult.mMarks) {
    const double part = mark.mAt.Seconds() / RunSeconds(aResult);
    if (part > 1) {
      continue;
    }
    const double x = kLeft + part * (kWidth - kLeft);
    absl::StrAppendFormat(
      &svg,
      "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"#900\" "
      "stroke-dasharray=\"4 3\"/><text x=\"%.1f\" y=\"%.0f\" "
      "fill=\"#900\">%s</text>\n",
      x,
      x,
      kTop,
      kHeight - kBottom,
      x + 3,
      kTop + 10,
      EscapeHtml(mark.mText));
  }
  return svg;
}

std::string
RenderAxes(double aSeconds, double aTop)
{
  std::string svg;
  constexpr int kTicks = 4;
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double part = static_cast<double>(tick) / kTicks;
    const double x = kLeft + part * (kWidth - kLeft);
    const double y = kHeight - kBottom - part * (kHeight - kBottom - kTop);
    absl::StrAppendFormat(
      &svg,
      "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
      "stroke=\"#ddd\"/><text x=\"%.0f\" y=\"%.1f\" "
      "text-anchor=\"end\">%.4g</text><text x=\"%.1f\" y=\"%.0f\" "
      "text-anchor=\"%s\">%.3g s</text>\n",
      kLeft,
      kWidth,
      y,
      y,
      kLeft - 6,
      y + 4,
      part * aTop,
      x,
      kHeight - kBottom + 16,
      tick == kTicks ? "end" : "middle",
      part * aSeconds);
  }
  return svg;
}

std::string
RenderPlot(const LoadResult& aResult,
           const std::string& aTitle,
           const std::vector<Series>& aSeries)
{
  double top = 0;
  for (const Series& line : aSeries) {
    for (const auto& [at, value] : line.mPoints) {
      top = std::max(top, value);
    }
  }
  top = top > 0 ? top * 1.05 : 1;
  const double seconds = RunSeconds(aResult);
  std::string legend;
  std::string svg = absl::StrFormat(
    "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\">\n", kWidth, kHeight);
  absl::StrAppend(&svg, RenderAxes(seconds, top));
  for (size_t index = 0; index < aSeries.size(); ++index) {
    const char* colour = kColours[index % std::size(kColours)];
    absl::StrAppend(&legend,
                    "<span style=\"color:",
                    colour,
                    "\">&#9632; ",
                    EscapeHtml(aSeries[index].mName),
                    "</span> ");
    std::string points;
    for (const auto& [at, value] : aSeries[index].mPoints) {
      absl::StrAppendFormat(
        &points,
        "%.1f,%.1f ",
        kLeft + std::min(1.0, at / seconds) * (kWidth - kLeft),
        kHeight - kBottom - value / top * (kHeight - kBottom - kTop));
    }
    absl::StrAppend(&svg,
                    "<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"",
                    colour,
                    "\" points=\"",
                    points,
                    "\"/>\n");
  }
  return absl::StrCat("<h2>",
                      EscapeHtml(aTitle),
                      "</h2>\n<p>",
                      legend,
                      "</p>\n",
                      svg,
                      RenderMarks(aResult),
                      "</svg>\n");
}

// The 95th percentile of latency, bucketed by intended send time.
std::vector<Series>
LatencySeries(const LoadResult& aResult, bool aFirst)
{
  std::map<LoadKind, std::map<size_t, std::vector<double>>> values;
  for (const LoadRecord& record : aResult.mRecords) {
    const LoadKind kind = record.mArrival.mKind;
    if (record.mOutcome != LoadOutcome::eOk ||
        (aFirst && kind != LoadKind::eStream)) {
      continue;
    }
    values[kind][BucketOf(aResult, record.mArrival.mAt)].push_back(
      (aFirst ? record.mFirst : record.mTotal).Seconds() * 1000);
  }
  std::vector<Series> lines;
  for (auto& [kind, buckets] : values) {
    Series line{ LoadKindName(kind), {} };
    for (auto& [bucket, samples] : buckets) {
      std::sort(samples.begin(), samples.end());
      const auto rank = static_cast<size_t>(
        std::ceil(0.95 * static_cast<double>(samples.size())));
      line.mPoints.emplace_back(BucketMidpoint(aResult, bucket),
                                samples[rank - 1]);
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

// Correct answers/s, bucketed by the time at which the answer ended.
std::vector<Series>
ThroughputSeries(const LoadResult& aResult)
{
  std::vector<std::vector<double>> counts(aResult.mWorkspaces.size(),
                                          std::vector<double>(kBuckets, 0));
  for (const LoadRecord& record : aResult.mRecords) {
    if (record.mOutcome == LoadOutcome::eOk) {
      const Duration end = record.mArrival.mAt + record.mTotal;
      counts[record.mArrival.mWorkspace][BucketOf(aResult, end)] += 1;
    }
  }
  std::vector<Series> lines;
  const double width = RunSeconds(aResult) / kBuckets;
  for (size_t index = 0; index < counts.size(); ++index) {
    Series line{ aResult.mWorkspaces[index], {} };
    for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
      line.mPoints.emplace_back(BucketMidpoint(aResult, bucket),
                                counts[index][bucket] / width);
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

Series
BatchSeries(const LoadResult& aResult)
{
  Series line{ "items done", {} };
  for (const BatchSample& sample : aResult.mBatch) {
    line.mPoints.emplace_back(sample.mAt.Seconds(),
                              static_cast<double>(sample.mDone));
  }
  return line;
}

} // namespace

std::string
FormatLoadHtml(const LoadResult& aResult)
{
  std::string html = absl::StrCat(
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>caraway-load</title>\n<style>body{font:14px sans-serif;"
    "max-width:60rem;margin:2rem auto;padding:0 1rem}svg{width:100%}"
    "svg text{font-size:11px;fill:#555}pre{overflow-x:auto}"
    "</style></head><body>\n<h1>caraway-load</h1>\n<p>Arrivals: ",
    EscapeHtml(aResult.mArrivals),
    ", seed ",
    aResult.mSeed,
    ". Latency counts from the intended send time.</p>\n<pre>",
    EscapeHtml(FormatLoadTable(aResult)),
    "</pre>\n");
  absl::StrAppend(
    &html,
    RenderPlot(
      aResult, "Latency by kind, p95, ms", LatencySeries(aResult, false)),
    RenderPlot(
      aResult, "First token of streams, p95, ms", LatencySeries(aResult, true)),
    RenderPlot(aResult,
               "Service by workspace, answers a second",
               ThroughputSeries(aResult)));
  if (!aResult.mBatch.empty()) {
    absl::StrAppend(
      &html,
      RenderPlot(aResult, "Batch progress, items", { BatchSeries(aResult) }));
  }
  return html + "</body></html>";
}

} // namespace caraway
