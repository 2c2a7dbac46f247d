#pragma once
// Judges the version on trial against the versions beside it.
//
// Load pattern: a version that fails or slows part of its answers, from the
// start, later, or on one route, while other targets of both versions may be
// grey, slow or busy for reasons of their own. Each question (failures or slow
// answers, of one route or of all) is a sequential probability ratio test, so
// that the chance of a false verdict does not grow with the number of looks.

#include <cstdint>
#include <map>
#include <string>

#include "caraway/rollout/answer_counts.h"

namespace caraway {

// The route of batch items, which belong to a job in place of a route.
inline const RouteId kBatchItems{ "batch-items" };

// Answers of a service since its roll-out began, summed over the fleet.
struct RolloutEvidence
{
  std::map<RouteId, AnswerCounts> mBeside; // versions that are not on trial
  std::map<RouteId, std::map<TargetId, AnswerCounts>> mTrial;
};

enum class RolloutVerdict : uint8_t
{
  eUndecided, // too few answers
  eGood,
  eBad,
};

struct RolloutJudgement
{
  RolloutVerdict mVerdict = RolloutVerdict::eUndecided;
  std::string mReason;    // for the log
  uint64_t mAnswers = 0;  // of the version on trial
  uint64_t mFailures = 0; // of these
};

RolloutJudgement
JudgeRollout(const RolloutEvidence& aEvidence);

} // namespace caraway
