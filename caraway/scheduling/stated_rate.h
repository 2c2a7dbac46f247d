#pragma once
// The rate of requests that a target states in its answers, as one process
// knows it. Processes pass on what they have heard; the newest answer counts.

#include <cstdint>
#include <optional>
#include <string_view>

#include "caraway/base/decision_log.h"
#include "caraway/base/target_call.h"
#include "caraway/base/time.h"

namespace caraway {

struct StatedRate
{
  double mPerSecond = 0;           // requests/s, 0: the target states no rate
  MonoTime mAt{ -kNever.mMicros }; // of the answer; kNever ago: none yet
};

// The same in messages between processes.
struct HeardRate
{
  int64_t mTargetStart = 0; // Unix milliseconds; other starts are not meant
  double mPerSecond = 0;
  Duration mAge; // since the answer
};

constexpr Duration kMaxHeardAge = Seconds(3600);

inline bool
IsHeard(const StatedRate& aRate)
{
  return aRate.mAt.mMicros != -kNever.mMicros;
}

// Records what an answer stated that arrived at aAt. 0 means that it stated no
// rate. Ignored if an answer that arrived later is known. Returns true if the
// rate has changed.
bool
RecordStatedRate(StatedRate& aRate, MonoTime aAt, double aPerSecond);

// What an answer states about the rate; nullopt if it says nothing: it is not
// the target's own, or no rate is known that its silence would end.
std::optional<double>
RateOfAnswer(const TargetCallBegan& aAnswer, const StatedRate& aKnown);

// The log line of a rate that has changed. aSource: who told it.
DecisionLog
RateLog(const TargetId& aTarget, double aPerSecond, std::string_view aSource);

// Records what another process has heard.
bool
RecordHeardRate(StatedRate& aRate, MonoTime aNow, const HeardRate& aHeard);

// What to tell other processes; nullopt if nothing was heard yet.
std::optional<HeardRate>
HeardRateOf(const StatedRate& aRate, MonoTime aNow, int64_t aTargetStart);

} // namespace caraway
