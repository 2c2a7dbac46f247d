#pragma once
// Simulates a model engine on a clock that the caller passes in.
//
// The engine does continuous batching without priorities: it admits every call
// on arrival, and each step generates one token for every call whose prompt has
// been read. The same seed and calls give the same answers at the same times.

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "caraway/base/random.h"
#include "caraway/base/time.h"

namespace caraway {

struct EngineSettings
{
  uint64_t mSeed = 1;
  Duration mStepBase = Millis(18);     // one step, before the cost of its calls
  Duration mStepPerCall = Micros(100); // added per call in the step
  uint32_t mCallCapacity = 96; // calls; steps slow down sharply above it
  Duration mPrefillPerToken = Micros(40); // reading a prompt
  uint32_t mPrefillPerStep = 1024;        // prompt tokens read in one step
  double mCachedCost = 0.1;        // of a cached prefix, relative to reading it
  uint64_t mCacheTokens = 200000;  // size of the prefix cache
  uint32_t mColdCallCapacity = 1;  // calls while cold; crashes above it
  Duration mColdFor = Seconds(10); // from the start to warm
  double mColdSlowdown = 2;        // factor on each step while cold
  Duration mDownFor = Seconds(2);  // after a crash
  Duration mReportLag = Millis(500); // age of load reports
  Duration mCacheEventLag = Millis(300);
  double mCacheEventLoss = 0.05; // fraction of cache events never reported
  double mJitter = 0.05;         // of each step, as a fraction, either way
  bool mChecksFencing = false;   // refuses orders with an old fencing token
};

struct EngineCall
{
  uint64_t mId = 0;           // from the caller, unique among running calls
  uint32_t mPrompt = 0;       // tokens
  uint32_t mOutput = 1;       // tokens to generate, including mResumed
  uint32_t mResumed = 0;      // tokens generated before a resume
  uint64_t mPrefix = 0;       // hash of a shared prefix, 0 = none
  uint32_t mPrefixTokens = 0; // its length
};

enum class EngineOutputKind : uint8_t
{
  eToken,
  eFinished, // after the last token
  eBroken,   // the engine crashed or restarted
};

struct EngineOutput
{
  MonoTime mAt;
  uint64_t mCall = 0;
  EngineOutputKind mKind = EngineOutputKind::eToken;
  uint32_t mToken = 0; // index from 0, over all resumes
};

struct EngineLoad
{
  uint32_t mRunning = 0; // calls that generate tokens
  uint32_t mWaiting = 0; // calls whose prompt is not read yet
  bool mCold = false;
};

struct CacheEvent
{
  MonoTime mReportedAt; // when it is reported
  uint64_t mPrefix = 0;
  bool mStored = true; // false: evicted
};

struct EngineRunning
{
  EngineCall mCall;
  double mUnreadPrompt = 0; // prompt tokens not read yet
  uint32_t mGenerated = 0;  // tokens, over all resumes
  bool mInStep = false;     // gets a token in the current step
};

struct EngineModel
{
  EngineSettings mSettings;
  Random mRandom;
  uint64_t mStart = 1;                // counts starts; part of the start id
  std::deque<EngineRunning> mRunning; // in order of admission
  bool mStepping = false;
  MonoTime mStepEnd{ 0 };
  MonoTime mWarmAt{ 0 };
  MonoTime mUpAt{ 0 };    // refuses connections before
  bool mCrashing = false; // crashes at the end of this step
  std::list<std::pair<uint64_t, uint32_t>> mCache;      // newest first
  uint64_t mCached = 0;                                 // tokens in mCache
  std::deque<CacheEvent> mCacheEvents;                  // not reported yet
  std::deque<std::pair<MonoTime, EngineLoad>> mHistory; // for late reports
  uint64_t mOrderToken = 0;         // newest fencing token seen
  std::vector<std::string> mModels; // loaded
  uint64_t mCallsAboveColdCapacity =
    0; // calls admitted above mColdCallCapacity
  uint64_t mCrashes = 0;
  uint64_t mTokens = 0; // generated
};

EngineModel
MakeEngine(const EngineSettings& aSettings, MonoTime aNow, bool aCold);

bool
IsCold(const EngineModel& aEngine, MonoTime aNow);

// False if the engine is down and refuses connections.
bool
AdmitCall(EngineModel& aEngine, MonoTime aNow, const EngineCall& aCall);

// Ends a call without further output. False if it was not running.
bool
CancelCall(EngineModel& aEngine, MonoTime aNow, uint64_t aCall);

// Appends all output up to aNow, in order of time.
void
AdvanceEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut);

// The next time at which AdvanceEngine has something to do.
MonoTime
NextEngineStep(const EngineModel& aEngine);

// Simulates a restart of the process: running calls break, and the engine is
// cold.
void
RestartEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut);

// Makes a running engine cold without a restart. Only load reports show it.
void
MakeEngineCold(EngineModel& aEngine, MonoTime aNow);

// The load as it was EngineSettings::mReportLag ago.
EngineLoad
ReportedLoad(const EngineModel& aEngine, MonoTime aNow);

// Removes and returns the cache events that are due. Lost events never appear.
std::vector<CacheEvent>
TakeCacheEvents(EngineModel& aEngine, MonoTime aNow);

// Loads or unloads a model. False if the engine checks fencing tokens and has
// seen a newer one than aToken.
bool
ApplyModelOrder(EngineModel& aEngine,
                bool aLoad,
                const std::string& aModel,
                uint64_t aToken);

// The text of one token of an answer. It is the same for every run of a
// request.
std::string
TokenText(uint64_t aSeed, const std::string& aPrompt, uint32_t aToken);

} // namespace caraway
