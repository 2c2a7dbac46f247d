#pragma once
// What a load run measured, and its forms: a table, JSON and an HTML report.

#include <string>
#include <vector>

#include "tools/load_call.h"

namespace caraway {

struct LoadRecord
{
  LoadArrival mArrival;
  LoadOutcome mOutcome = LoadOutcome::eUnfinished;
  int mStatus = 0;   // HTTP, 0 = no answer
  Duration mSendLag; // actual minus intended send time
  Duration mFirst;   // first token of a stream after the intended send time
  Duration mTotal;   // end of the answer after the intended send time
};

struct BatchSample
{
  Duration mAt; // since the start of the run
  uint64_t mDone = 0;
  uint64_t mFailed = 0; // of them
  uint64_t mTotal = 0;
};

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
  std::vector<BatchSample> mBatch;  // empty without batch work
  std::string mBatchState;          // last state, or an error
  std::vector<LoadMark> mMarks;
  Duration mLength; // of the run
};

// "AT_MS:TEXT".
absl::StatusOr<LoadMark>
ParseLoadMark(const std::string& aText);

std::string
FormatLoadTable(const LoadResult& aResult);

std::string
FormatLoadJson(const LoadResult& aResult);

// One file without references to others.
std::string
FormatLoadHtml(const LoadResult& aResult);

} // namespace caraway
