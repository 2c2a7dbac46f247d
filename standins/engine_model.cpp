// Simulates a model engine: batching, slowdown under load, cold starts.

#include "standins/engine_model.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace caraway {

namespace {

constexpr size_t kMaxHistory = 4096;

void
RecordLoad(EngineModel& aEngine, MonoTime aNow)
{
  EngineLoad load;
  for (const EngineRunning& running : aEngine.mRunning) {
    ++(running.mUnreadPrompt > 0 ? load.mWaiting : load.mRunning);
  }
  load.mCold = IsCold(aEngine, aNow);
  aEngine.mHistory.emplace_back(aNow, load);
  while (aEngine.mHistory.size() > kMaxHistory) {
    aEngine.mHistory.pop_front();
  }
}

void
QueueCacheEvent(EngineModel& aEngine,
                MonoTime aNow,
                uint64_t aPrefix,
                bool aStored)
{
  if (DrawUnit(aEngine.mRandom) >= aEngine.mSettings.mCacheEventLoss) {
    aEngine.mCacheEvents.push_back(
      { aNow + aEngine.mSettings.mCacheEventLag, aPrefix, aStored });
  }
}

// Makes the prefix of the call the newest in the cache, evicting old ones. True
// if it was cached before.
bool
TouchCache(EngineModel& aEngine, MonoTime aNow, const EngineCall& aCall)
{
  if (aCall.mPrefix == 0) {
    return false;
  }
  auto& cache = aEngine.mCache;
  auto found =
    std::find_if(cache.begin(), cache.end(), [&](const auto& aEntry) {
      return aEntry.first == aCall.mPrefix;
    });
  if (found != cache.end()) {
    cache.splice(cache.begin(), cache, found);
    return true;
  }
  cache.emplace_front(aCall.mPrefix, aCall.mPrefixTokens);
  aEngine.mCached += aCall.mPrefixTokens;
  QueueCacheEvent(aEngine, aNow, aCall.mPrefix, true);
  while (aEngine.mCached > aEngine.mSettings.mCacheTokens && cache.size() > 1) {
    aEngine.mCached -= cache.back().second;
    QueueCacheEvent(aEngine, aNow, cache.back().first, false);
    cache.pop_back();
  }
  return false;
}

// Factor on the time of a step. It grows with the square of the excess over
// mCallCapacity.
double
Slowdown(EngineModel& aEngine, MonoTime aNow)
{
  const EngineSettings& settings = aEngine.mSettings;
  const double excess =
    static_cast<double>(aEngine.mRunning.size()) / settings.mCallCapacity - 1.0;
  double slowdown = excess > 0 ? 1.0 + 20.0 * excess * excess + excess : 1.0;
  if (IsCold(aEngine, aNow)) {
    slowdown *= settings.mColdSlowdown;
  }
  const double jitter = 2 * DrawUnit(aEngine.mRandom) - 1;
  return slowdown * (1.0 + settings.mJitter * jitter);
}

void
BeginStep(EngineModel& aEngine, MonoTime aNow)
{
  const EngineSettings& settings = aEngine.mSettings;
  double budget = settings.mPrefillPerStep;
  double read = 0;
  uint32_t generating = 0;
  for (EngineRunning& running : aEngine.mRunning) {
    running.mInStep = true;
    if (running.mUnreadPrompt > 0) {
      const double part = std::min(budget, running.mUnreadPrompt);
      running.mUnreadPrompt -= part;
      budget -= part;
      read += part;
      // The rest of a prompt that exceeds the budget is read in later steps.
      running.mInStep = running.mUnreadPrompt <= 0;
    }
    generating += running.mInStep ? 1 : 0;
  }
  const double micros =
    static_cast<double>(settings.mStepBase.mMicros) +
    generating * static_cast<double>(settings.mStepPerCall.mMicros) +
    read * static_cast<double>(settings.mPrefillPerToken.mMicros);
  const double length = micros * Slowdown(aEngine, aNow);
  aEngine.mStepping = true;
  aEngine.mStepEnd = aNow + Micros(std::max<int64_t>(1, std::llround(length)));
}

void
BreakAll(EngineModel& aEngine, MonoTime aNow, std::vector<EngineOutput>& aOut)
{
  for (const EngineRunning& running : aEngine.mRunning) {
    aOut.push_back({ aNow, running.mCall.mId, EngineOutputKind::eBroken, 0 });
  }
  aEngine.mRunning.clear();
  aEngine.mStepping = false;
  aEngine.mCrashing = false;
  aEngine.mCache.clear();
  aEngine.mCached = 0;
  ++aEngine.mStart;
}

void
EndStep(EngineModel& aEngine, std::vector<EngineOutput>& aOut)
{
  const MonoTime now = aEngine.mStepEnd;
  aEngine.mStepping = false;
  if (aEngine.mCrashing) {
    ++aEngine.mCrashes;
    BreakAll(aEngine, now, aOut);
    aEngine.mUpAt = now + aEngine.mSettings.mDownFor;
    aEngine.mWarmAt = aEngine.mUpAt + aEngine.mSettings.mColdFor;
    RecordLoad(aEngine, now);
    return;
  }
  auto& calls = aEngine.mRunning;
  for (EngineRunning& running : calls) {
    if (!running.mInStep) {
      continue;
    }
    aOut.push_back(
      { now, running.mCall.mId, EngineOutputKind::eToken, running.mGenerated });
    ++running.mGenerated;
    ++aEngine.mTokens;
    if (running.mGenerated >= running.mCall.mOutput) {
      aOut.push_back(
        { now, running.mCall.mId, EngineOutputKind::eFinished, 0 });
    }
  }
  std::erase_if(calls, [](const EngineRunning& aRunning) {
    return aRunning.mInStep && aRunning.mGenerated >= aRunning.mCall.mOutput;
  });
  RecordLoad(aEngine, now);
  if (!calls.empty()) {
    BeginStep(aEngine, now);
  }
}

} // namespace

EngineModel
MakeEngine(const EngineSettings& aSettings, MonoTime aNow, bool aCold)
{
  EngineModel engine;
  engine.mSettings = aSettings;
  engine.mRandom = Random(aSettings.mSeed);
  engine.mUpAt = aNow;
  engine.mWarmAt = aCold ? aNow + aSettings.mColdFor : aNow;
  RecordLoad(engine, aNow);
  return engine;
}

bool
IsCold(const EngineModel& aEngine, MonoTime aNow)
{
  return aNow < aEngine.mWarmAt;
}

bool
AdmitCall(EngineModel& aEngine, MonoTime aNow, const EngineCall& aCall)
{
  if (aNow < aEngine.mUpAt) {
    return false;
  }
  EngineRunning running;
  running.mCall = aCall;
  running.mGenerated = aCall.mResumed;
  running.mUnreadPrompt = aCall.mPrompt;
  if (TouchCache(aEngine, aNow, aCall)) {
    running.mUnreadPrompt -= (1 - aEngine.mSettings.mCachedCost) *
                             std::min(aCall.mPrefixTokens, aCall.mPrompt);
  }
  // A resumed call has to read its generated text again, like a prompt.
  running.mUnreadPrompt += aCall.mResumed;
  running.mUnreadPrompt = std::max(1.0, running.mUnreadPrompt);
  aEngine.mRunning.push_back(running);
  const bool above =
    aEngine.mRunning.size() > aEngine.mSettings.mColdCallCapacity;
  if (IsCold(aEngine, aNow) && above) {
    ++aEngine.mCallsAboveColdCapacity;
    aEngine.mCrashing = true;
  }
  RecordLoad(aEngine, aNow);
  if (!aEngine.mStepping) {
    BeginStep(aEngine, aNow);
  }
  return true;
}

bool
CancelCall(EngineModel& aEngine, MonoTime aNow, uint64_t aCall)
{
  const size_t gone =
    std::erase_if(aEngine.mRunning, [&](const EngineRunning& aRunning) {
      return aRunning.mCall.mId == aCall;
    });
  if (gone > 0) {
    RecordLoad(aEngine, aNow);
  }
  return gone > 0;
}

void
AdvanceEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut)
{
  while (aEngine.mStepping && aEngine.mStepEnd <= aNow) {
    EndStep(aEngine, aOut);
  }
}

MonoTime
NextEngineStep(const EngineModel& aEngine)
{
  return aEngine.mStepping ? aEngine.mStepEnd : kNever;
}

void
RestartEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut)
{
  BreakAll(aEngine, aNow, aOut);
  aEngine.mUpAt = aNow;
  aEngine.mWarmAt = aNow + aEngine.mSettings.mColdFor;
  RecordLoad(aEngine, aNow);
}

void
MakeEngineCold(EngineModel& aEngine, MonoTime aNow)
{
  aEngine.mWarmAt = aNow + aEngine.mSettings.mColdFor;
  RecordLoad(aEngine, aNow);
}

EngineLoad
ReportedLoad(const EngineModel& aEngine, MonoTime aNow)
{
  const MonoTime then = aNow - aEngine.mSettings.mReportLag;
  EngineLoad load = aEngine.mHistory.front().second;
  for (const auto& [at, past] : aEngine.mHistory) {
    if (at > then) {
      break;
    }
    load = past;
  }
  // The history has no entry for the moment at which the engine is warm.
  load.mCold = load.mCold && then < aEngine.mWarmAt;
  return load;
}

std::vector<CacheEvent>
TakeCacheEvents(EngineModel& aEngine, MonoTime aNow)
{
  std::vector<CacheEvent> events;
  while (!aEngine.mCacheEvents.empty() &&
         aEngine.mCacheEvents.front().mReportedAt <= aNow) {
    events.push_back(aEngine.mCacheEvents.front());
    aEngine.mCacheEvents.pop_front();
  }
  return events;
}

bool
ApplyModelOrder(EngineModel& aEngine,
                bool aLoad,
                const std::string& aModel,
                uint64_t aToken)
{
  if (aEngine.mSettings.mChecksFencing && aToken < aEngine.mOrderToken) {
    return false;
  }
  aEngine.mOrderToken = std::max(aEngine.mOrderToken, aToken);
  auto& models = aEngine.mModels;
  std::erase(models, aModel);
  if (aLoad) {
    models.push_back(aModel);
  }
  return true;
}

std::string
TokenText(uint64_t aSeed, const std::string& aPrompt, uint32_t aToken)
{
  const uint64_t hash = XXH64(aPrompt.data(), aPrompt.size(), aSeed + aToken);
  return "w" + std::to_string(hash % 1000) + " ";
}

} // namespace caraway
