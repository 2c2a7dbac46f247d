#pragma once
// Adaptive limit on the concurrent calls at a target.
//
// A round is as many successful completions as the limit has calls. The limit
// starts at the cold value and doubles with each round until latency gets near
// the goals. From then on it grows by one with each round while the goals hold,
// and shrinks by a quarter when they are missed. Signs of a cold target reset
// it to the cold value at once.

#include <string_view>

#include "caraway/scheduling/sample_window.h"

namespace caraway {

struct LimitSettings
{
  uint32_t mCold = 1;  // concurrent calls that a cold target can take
  uint32_t mMax = 256; // largest value of the limit
  Duration mTokenGoal = Millis(74);
  Duration mFirstTokenGoal = Millis(750);
};

enum class LimitChange : uint8_t
{
  eNone,
  eGrew,
  eShrank,
  eTurnedCold,
};

struct ConcurrencyLimit
{
  LimitSettings mSettings;
  uint32_t mValue = 1;             // from mSettings.mCold to mSettings.mMax
  bool mRamping = true;            // still doubling from the cold value
  bool mTargetReportsCold = false; // the limit does not grow meanwhile
  uint32_t mWarmValue = 0;      // last value that met the goals, 0 = none yet
  uint32_t mRoundSuccesses = 0; // successes of this round at a fully used limit
  uint32_t mErrors = 0;         // consecutive server errors
  SampleWindow mTokenGaps;      // since the last change
  SampleWindow mFirstTokens;    // since the last change
  double mMeanFirstToken = 0;   // seconds, 0 = unknown
  double mMeanPromptTokens = 0; // of the samples in mMeanFirstToken
};

ConcurrencyLimit
MakeLimit(const LimitSettings& aSettings);

// Longest wait for a first token that does not indicate a cold target: four
// times the mean, scaled up for longer prompts, and never below the goal.
Duration
ColdThreshold(const ConcurrencyLimit& aLimit, uint32_t aPromptTokens);

// Records a latency sample. aWithinLimit: no more calls run than the limit
// allows. Samples taken above the limit do not describe the current limit and
// are ignored.
LimitChange
RecordFirstToken(ConcurrencyLimit& aLimit,
                 Duration aWait,
                 uint32_t aPromptTokens,
                 bool aWithinLimit);

LimitChange
RecordTokenGap(ConcurrencyLimit& aLimit, Duration aGap, bool aWithinLimit);

// aLimitUsed: the limit was (nearly) used up, so that the completion shows how
// the target performs at this limit.
LimitChange
RecordCompletion(ConcurrencyLimit& aLimit, bool aGood, bool aLimitUsed);

// Records that another 32 tokens of a stream arrived. Once the limit no longer
// doubles, this counts like a completion: with streams of half a minute the
// limit would otherwise take many seconds to grow by one.
LimitChange
RecordProgress(ConcurrencyLimit& aLimit, bool aLimitUsed);

// Records a broken or refused connection, or a 503 response. Each indicates a
// cold target.
LimitChange
RecordConnectionFailure(ConcurrencyLimit& aLimit);

// Records any other server error. Three in a row indicate a cold target.
LimitChange
RecordServerError(ConcurrencyLimit& aLimit);

// Resets the limit to the cold value.
LimitChange
TurnCold(ConcurrencyLimit& aLimit);

std::string_view
LimitChangeName(LimitChange aChange);

} // namespace caraway
