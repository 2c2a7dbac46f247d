#pragma once
// How many calls the target gets at once.
//
// The limit starts at the cold value and doubles per round of good completions
// until it nears the goals; then it grows by one per limit's worth of
// completions while the goals hold, and shrinks by a quarter when they do not.
// Signs of a cold target bring it to the cold value at once.

#include <string_view>

#include "caraway/scheduling/sample_window.h"

namespace caraway {

struct LimitSettings
{
  uint32_t mCold = 1;  // calls that a cold target bears
  uint32_t mMax = 256; // calls at most
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
  uint32_t mValue = 1;             // between the cold and the largest value
  bool mRamping = true;            // still doubling from the cold value
  bool mTargetReportsCold = false; // the target's own report; holds the ramp
  uint32_t mWarmValue = 0; // last value that met the goals before turning cold
  uint32_t mGood = 0;      // good completions at a full limit, this round
  uint32_t mErrors = 0;    // server errors in a row
  SampleWindow mTokenGaps; // since the last change
  SampleWindow mFirstTokens; // since the last change
  double mFirstBase = 0;     // usual seconds to the first token, 0 = unknown
  double mPromptBase = 0;    // prompt tokens behind mFirstBase
};

ConcurrencyLimit
MakeLimit(const LimitSettings& aSettings);

// Longest wait for a first token that does not indicate a cold target: four
// times the usual, scaled up for long prompts, and never under the goal.
Duration
ColdThreshold(const ConcurrencyLimit& aLimit, uint32_t aPromptTokens);

// Samples. aWithinLimit is true while no more calls run than the limit allows;
// others say nothing about the present limit and are left out.
LimitChange
RecordFirstToken(ConcurrencyLimit& aLimit,
                 Duration aWait,
                 uint32_t aPromptTokens,
                 bool aWithinLimit);

LimitChange
RecordTokenGap(ConcurrencyLimit& aLimit, Duration aGap, bool aWithinLimit);

// aLimitUsed: the limit was (nearly) used up, so that the completion shows what
// the target bears at this limit.
LimitChange
RecordCompletion(ConcurrencyLimit& aLimit, bool aGood, bool aLimitUsed);

// A piece of a stream (32 tokens) came at a full limit. After the ramp it
// counts like a completion: streams of half a minute would otherwise let the
// limit grow by one in many seconds only.
LimitChange
RecordProgress(ConcurrencyLimit& aLimit, bool aLimitUsed);

// A broken or refused connection, or "503 busy": indicates a cold target.
LimitChange
RecordConnectionFailure(ConcurrencyLimit& aLimit);

// Another server error; three in a row indicate a cold target.
LimitChange
RecordServerError(ConcurrencyLimit& aLimit);

LimitChange
TurnCold(ConcurrencyLimit& aLimit);

std::string_view
LimitChangeName(LimitChange aChange);

} // namespace caraway
