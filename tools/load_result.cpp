// Formats the measurements of a load run as a text table and as JSON.

#include "tools/load_result.h"

#include <algorithm>
#include <array>
#include <map>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "caraway/base/error.h"
#include "caraway/base/latency_histogram.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

struct Group
{
  std::array<uint64_t, kLoadOutcomes> mOutcomes{};
  uint64_t mSent = 0;
  LatencyHistogram mTotal; // latency of correct answers
  LatencyHistogram mFirst; // time to first bytes of correct streams
};

using Groups = std::map<std::pair<uint32_t, LoadKind>, Group>;

Groups
GroupRecords(const LoadResult& aResult)
{
  Groups groups;
  for (const LoadRecord& record : aResult.mRecords) {
    Group& group =
      groups[{ record.mArrival.mWorkspace, record.mArrival.mKind }];
    ++group.mSent;
    ++group.mOutcomes[static_cast<size_t>(record.mOutcome)];
    if (record.mOutcome != LoadOutcome::eOk) {
      continue;
    }
    group.mTotal.Record(record.mTotal);
    if (record.mArrival.mKind == LoadKind::eStream) {
      group.mFirst.Record(record.mFirst);
    }
  }
  return groups;
}

double
MillisOf(const LatencyHistogram& aHistogram, double aQuantile)
{
  return static_cast<double>(aHistogram.Quantile(aQuantile).mMicros) / 1000;
}

Json
QuantilesJson(const LatencyHistogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "p50", MillisOf(aHistogram, 0.5) },
           { "p95", MillisOf(aHistogram, 0.95) },
           { "p99", MillisOf(aHistogram, 0.99) } };
}

Duration
WorstSendLag(const LoadResult& aResult)
{
  Duration worst;
  for (const LoadRecord& record : aResult.mRecords) {
    worst = std::max(worst, record.mSendLag);
  }
  return worst;
}

} // namespace

absl::StatusOr<LoadMark>
ParseLoadMark(const std::string& aText)
{
  const size_t colon = aText.find(':');
  int64_t millis = 0;
  if (colon == std::string::npos || colon + 1 == aText.size() ||
      !absl::SimpleAtoi(aText.substr(0, colon), &millis) || millis < 0) {
    return MakeError(ErrorKind::eInvalidArgument,
                     absl::StrCat("'", aText, "' is not a valid mark"),
                     "write it as AT_MS:TEXT, for example 5000:zone out");
  }
  return LoadMark{ Millis(millis), aText.substr(colon + 1) };
}

std::string
FormatLoadTable(const LoadResult& aResult)
{
  std::string table = absl::StrFormat("%-16s %-8s %6s %6s %6s %7s %7s %6s %6s "
                                      "%8s %8s %8s %9s\n",
                                      "workspace",
                                      "kind",
                                      "sent",
                                      "ok",
                                      "wrong",
                                      "refused",
                                      "unknown",
                                      "failed",
                                      "open",
                                      "p50 ms",
                                      "p95 ms",
                                      "p99 ms",
                                      "first p95");
  for (const auto& [key, group] : GroupRecords(aResult)) {
    const auto& counts = group.mOutcomes;
    absl::StrAppendFormat(
      &table,
      "%-16s %-8s %6d %6d %6d %7d %7d %6d %6d %8.1f %8.1f %8.1f %9s\n",
      aResult.mWorkspaces[key.first],
      LoadKindName(key.second),
      group.mSent,
      counts[0],
      counts[1],
      counts[2],
      counts[3],
      counts[4],
      counts[5],
      MillisOf(group.mTotal, 0.5),
      MillisOf(group.mTotal, 0.95),
      MillisOf(group.mTotal, 0.99),
      group.mFirst.Count() == 0
        ? "-"
        : absl::StrFormat("%.1f", MillisOf(group.mFirst, 0.95)));
  }
  absl::StrAppendFormat(&table,
                        "%d requests in %.1f s; sent at most %.1f ms late\n",
                        aResult.mRecords.size(),
                        aResult.mLength.Seconds(),
                        WorstSendLag(aResult).Seconds() * 1000);
  if (!aResult.mBatchState.empty()) {
    const BatchSample last =
      aResult.mBatch.empty() ? BatchSample{} : aResult.mBatch.back();
    absl::StrAppend(&table,
                    "batch: ",
                    aResult.mBatchState,
                    ", ",
                    last.mDone,
                    " of ",
                    last.mTotal,
                    " done, ",
                    last.mFailed,
                    " failed\n");
  }
  return table;
}

std::string
FormatLoadJson(const LoadResult& aResult)
{
  Json result{ { "seed", aResult.mSeed },
               { "arrivals", aResult.mArrivals },
               { "requests", aResult.mRecords.size() },
               { "seconds", aResult.mLength.Seconds() },
               { "worst_send_lag_ms", WorstSendLag(aResult).Seconds() * 1000 },
               { "groups", Json::array() },
               { "batch", nullptr },
               { "marks", Json::array() } };
  for (const auto& [key, group] : GroupRecords(aResult)) {
    Json entry{ { "workspace", aResult.mWorkspaces[key.first] },
                { "kind", LoadKindName(key.second) },
                { "sent", group.mSent },
                { "latency_ms", QuantilesJson(group.mTotal) } };
    for (size_t index = 0; index < kLoadOutcomes; ++index) {
      entry[LoadOutcomeName(static_cast<LoadOutcome>(index))] =
        group.mOutcomes[index];
    }
    if (key.second == LoadKind::eStream) {
      entry["first_token_ms"] = QuantilesJson(group.mFirst);
    }
    result["groups"].push_back(std::move(entry));
  }
  if (!aResult.mBatchState.empty()) {
    Json samples = Json::array();
    for (const BatchSample& sample : aResult.mBatch) {
      samples.push_back({ { "at_ms", sample.mAt.Millis() },
                          { "done", sample.mDone },
                          { "failed", sample.mFailed },
                          { "total", sample.mTotal } });
    }
    result["batch"] = { { "state", aResult.mBatchState },
                        { "progress", std::move(samples) } };
  }
  for (const LoadMark& mark : aResult.mMarks) {
    result["marks"].push_back(
      { { "at_ms", mark.mAt.Millis() }, { "text", mark.mText } });
  }
  return result.dump(2);
}

} // namespace caraway
