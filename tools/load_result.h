#pragma once
// The measurements of a load run and their output as a text table, JSON and an
// HTML report.

#include <string>
#include <vector>

#include "tools/load_call.h"

namespace caraway {

struct LoadRecord
{
  LoadArrival mArrival;
  LoadOutcome mOutcome = LoadOutcome::eUnfinished;
  int mStatus = 0;   // HTTP status, 0 = no answer
  Duration mSendLag; // actual minus intended send time
  // Both are counted from the intended send time.
  Duration mFirst; // to the first bytes of a stream
  Duration mTotal; // to the end of the answer
};

struct BatchSample
{
  Duration mAt;         // since the start of the run
  uint64_t mDone = 0;   // items completed or failed
  uint64_t mFailed = 0; // part of mDone
  uint64_t mTotal = 0;
};

// A labelled point in time, shown in the report.
struct LoadMark
{
  Duration mAt;
  std::string mText;
};

struct LoadResult
{
  uint64_t mSeed = 1;
  std::string mArrivals; // "poisson", "trace" and so on
  std::vector<std::string> mWorkspaces;
  std::vector<LoadRecord> mRecords; // in the order of the plan
  std::vector<BatchSample> mBatch;  // empty without a batch job
  std::string mBatchState; // last known state of the batch job, or an error
  std::vector<LoadMark> mMarks;
  Duration mLength; // of the run
};

// Parses "AT_MS:TEXT".
absl::StatusOr<LoadMark>
ParseLoadMark(const std::string& aText);

std::string
FormatLoadTable(const LoadResult& aResult);

std::string
FormatLoadJson(const LoadResult& aResult);

// Returns a self-contained document without external references.
std::string
FormatLoadHtml(const LoadResult& aResult);

} // namespace caraway
