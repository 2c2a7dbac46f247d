// Chooses a target by load per slot, recent failures and zone.

#include "caraway/routing/placement.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

// A target states a figure that changes many times a second.
constexpr Duration kStatedPaceLifetime = Millis(300);
// Older reports are ignored, since the load changes within a second.
constexpr Duration kReportLifetime = Seconds(3);
constexpr Duration kMinAvoidance = Millis(250);
constexpr Duration kMaxAvoidance = Seconds(4);
constexpr double kFailureGain = 0.3;   // weight of a new failure
constexpr double kFailureDecay = 0.85; // factor after a success
// Costs in the unit of the load (requests per slot): another zone adds a few
// milliseconds, a batch item has to be preempted, a failure costs an attempt.
constexpr double kZoneCost = 0.15;
constexpr double kBatchCost = 0.25;
constexpr double kFailureCost = 2.0;
constexpr double kRateWaitCost =
  4.0; // per second; a quarter equals a full load
// Exceeds the load of one request at eight slots, so that entries with equal
// views do not all send a burst to the same target before the next reports.
constexpr double kScoreJitter = 0.25;
// Reading a whole prompt that the target does not hold. Reading is faster than
// writing: as much as two requests at eight slots.
constexpr double kReadCost = 0.25;

bool
IsExcluded(const PlacementQuery& aQuery, const TargetId& aTarget)
{
  return std::find(aQuery.mExclude.begin(), aQuery.mExclude.end(), aTarget) !=
         aQuery.mExclude.end();
}

uint32_t
SlotsOf(const PlacementCandidate& aCandidate, const PlacementLoad& aLoad)
{
  return std::max<uint32_t>(
    1, aLoad.mLimit != 0 ? aLoad.mLimit : aCandidate.mSlots);
}

// The candidate whose memory is to hold the query's prefix: one in the local
// zone, unless reading the prefix costs more than to cross zones.
std::optional<size_t>
HomeOf(const std::vector<PlacementCandidate>& aCandidates,
       const PlacementLoads& aLoads,
       const PlacementQuery& aQuery,
       MonoTime aNow)
{
  std::optional<size_t> home;
  const bool anyZone = kReadCost * aQuery.mPrefixShare > kZoneCost;
  bool homeLocal = false;
  uint64_t homeScore = 0;
  for (size_t at = 0; aQuery.mPrefix != 0 && at < aCandidates.size(); ++at) {
    const PlacementCandidate& candidate = aCandidates[at];
    const auto known = aLoads.find(candidate.mTarget);
    if (IsExcluded(aQuery, candidate.mTarget) ||
        (known != aLoads.end() && aNow < known->second.mAvoidUntil)) {
      continue;
    }
    const bool local = anyZone || candidate.mZone == aQuery.mLocalZone;
    const uint64_t score =
      RendezvousScore(aQuery.mPrefix, candidate.mTarget.mValue);
    if (!home || (local && !homeLocal) ||
        (local == homeLocal && score > homeScore)) {
      home = at;
      homeLocal = local;
      homeScore = score;
    }
  }
  return home;
}

// Random, or by the prefix: requests that share it then go on to the same
// targets, in the same order, while its home has more work than they.
double
JitterOf(const PlacementQuery& aQuery, const TargetId& aTarget, Random& aRandom)
{
  constexpr double kHashRange = 0x1.0p64;
  const double share =
    aQuery.mPrefix == 0
      ? static_cast<double>(DrawBelow(aRandom, 1000)) / 1000.0
      : 1 -
          static_cast<double>(RendezvousScore(aQuery.mPrefix, aTarget.mValue)) /
            kHashRange;
  return kScoreJitter * share;
}

double
ScoreOf(const PlacementCandidate& aCandidate,
        const PlacementLoad& aLoad,
        const PlacementQuery& aQuery,
        MonoTime aNow,
        Random& aRandom)
{
  const double places = SlotsOf(aCandidate, aLoad);
  // The request itself takes longer as well, so the pace tells idle targets
  // apart. At the usual pace this is the load.
  double score =
    ((OnlineAt(aLoad, aNow) + 1) * PaceAt(aLoad, aNow) - 1) / places;
  if (aNow - aLoad.mReportAt < kReportLifetime) {
    score += kBatchCost * aLoad.mBatch / places;
  }
  score += kFailureCost * aLoad.mFailureRate;
  if (aLoad.mRate.mPerSecond > 0 && aNow < aLoad.mNextStartAt) {
    score += kRateWaitCost * (aLoad.mNextStartAt - aNow).Seconds();
  }
  score += aCandidate.mZone == aQuery.mLocalZone ? 0 : kZoneCost;
  return score + JitterOf(aQuery, aCandidate.mTarget, aRandom);
}

} // namespace

double
PaceAt(const PlacementLoad& aLoad, MonoTime aNow)
{
  const double lasting =
    aLoad.mNodePace > 0 ? aLoad.mNodePace : PaceOf(aLoad.mOwnPace);
  const bool recent = aNow - aLoad.mStatedPaceAt < kStatedPaceLifetime;
  return recent ? std::max(lasting, aLoad.mStatedPace) : lasting;
}

uint32_t
OnlineAt(const PlacementLoad& aLoad, MonoTime aNow)
{
  uint32_t others = 0;
  if (aNow - aLoad.mReportAt < kReportLifetime) {
    others = aLoad.mOnline > aLoad.mOwnAtReport
               ? aLoad.mOnline - aLoad.mOwnAtReport
               : 0;
  }
  return aLoad.mOwn + others;
}

Placement
ChoosePlacement(const std::vector<PlacementCandidate>& aCandidates,
                const PlacementLoads& aLoads,
                const PlacementQuery& aQuery,
                MonoTime aNow,
                Random& aRandom)
{
  static const PlacementLoad kUnknown;
  Placement best;
  bool bestAvoided = true;
  double bestScore = 0;
  size_t left = 0;
  const std::optional<size_t> home = HomeOf(aCandidates, aLoads, aQuery, aNow);
  for (size_t at = 0; at < aCandidates.size(); ++at) {
    const PlacementCandidate& candidate = aCandidates[at];
    if (IsExcluded(aQuery, candidate.mTarget)) {
      continue;
    }
    ++left;
    auto known = aLoads.find(candidate.mTarget);
    const PlacementLoad& load =
      known == aLoads.end() ? kUnknown : known->second;
    const bool avoided = aNow < load.mAvoidUntil;
    const double reading = at == home ? 0 : kReadCost * aQuery.mPrefixShare;
    const double score =
      ScoreOf(candidate, load, aQuery, aNow, aRandom) + reading;
    if (!best.mIndex || (bestAvoided && !avoided) ||
        (bestAvoided == avoided && score < bestScore)) {
      best.mIndex = at;
      bestAvoided = avoided;
      bestScore = score;
    }
  }
  DecisionLog& log = best.mLog;
  log.mEvent = "place";
  log.mRequest = aQuery.mRequest;
  log.mWorkspace = aQuery.mWorkspace;
  log.mExtra = { { "candidates", absl::StrCat(left) } };
  if (!best.mIndex) {
    log.mChoice = "none";
    log.mReason = "no target is left";
    return best;
  }
  best.mHome = best.mIndex == home;
  const PlacementCandidate& chosen = aCandidates[*best.mIndex];
  log.mChoice = chosen.mTarget.mValue;
  log.mReason = bestAvoided ? "all candidates failed recently" : "least loaded";
  if (aQuery.mPrefix != 0) {
    log.mExtra.push_back({ "home", best.mHome ? "true" : "false" });
  }
  if (auto known = aLoads.find(chosen.mTarget); known != aLoads.end()) {
    const PlacementLoad& load = known->second;
    log.mExtra.push_back({ "online", absl::StrCat(OnlineAt(load, aNow)) });
    if (const double pace = PaceAt(load, aNow); pace != 1) {
      log.mExtra.push_back({ "pace", absl::StrCat(pace) });
    }
    log.mExtra.push_back({ "places", absl::StrCat(SlotsOf(chosen, load)) });
    if (load.mLimit != 0) {
      log.mExtra.push_back(
        { "report_age_ms", absl::StrCat((aNow - load.mReportAt).Millis()) });
    }
  }
  return best;
}

void
RecordLoadReport(PlacementLoad& aLoad,
                 MonoTime aNow,
                 uint32_t aOnline,
                 uint32_t aBatch,
                 uint32_t aLimit,
                 uint32_t aWaiting)
{
  aLoad.mOnline = aOnline;
  aLoad.mWaiting = aWaiting;
  aLoad.mBatch = aBatch;
  aLoad.mLimit = aLimit;
  aLoad.mOwnAtReport = aLoad.mOwn;
  aLoad.mReportAt = aNow;
}

void
RecordPlacementFailure(PlacementLoad& aLoad, MonoTime aNow)
{
  Duration avoid = kMinAvoidance;
  for (uint32_t step = 0; step < aLoad.mFailures && avoid < kMaxAvoidance;
       ++step) {
    avoid = avoid * 2;
  }
  ++aLoad.mFailures;
  aLoad.mFailureRate += kFailureGain * (1 - aLoad.mFailureRate);
  aLoad.mAvoidUntil = aNow + std::min(avoid, kMaxAvoidance);
}

void
RecordPlacementSuccess(PlacementLoad& aLoad)
{
  aLoad.mFailures = 0;
  aLoad.mFailureRate *= kFailureDecay;
}

} // namespace caraway
