#pragma once
// A model of a model engine on a clock that the caller passes in.
//
// Continuous batching without priorities: every call is admitted as it comes,
// and each step gives one token to every call whose prompt was read. The same
// seed and the same calls give the same answers at the same times.

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
  Duration mStepBase = Millis(18);     // one step with few calls
  Duration mStepPerCall = Micros(100); // added per call in the step
  uint32_t mCallCapacity = 96;         // calls; above, everything slows badly
  Duration mPrefillPerToken = Micros(40); // reading a prompt
  uint32_t mPrefillPerStep = 1024;        // prompt tokens read in one step
  double mCachedCost = 0.1;               // of a prefix that is in the cache
  uint64_t mCacheTokens = 200000;         // memory of the prefix cache
  uint32_t mColdCallCapacity = 1;         // calls while cold; more: falls over
  Duration mColdFor = Seconds(10);        // until warm
  double mColdSlowdown = 2;               // of each step while cold
  Duration mDownFor = Seconds(2);         // after falling over
  Duration mReportLag = Millis(500);      // of load reports
  Duration mCacheEventLag = Millis(300);
  double mCacheEventLoss = 0.05; // part of the cache events never told
  double mJitter = 0.05;         // of each step, either way
  bool mChecksFencing = false;   // refuses orders with an old token
};

struct EngineCall
{
  uint64_t mId = 0;           // of the caller, unique among running calls
  uint32_t mPrompt = 0;       // tokens
  uint32_t mOutput = 1;       // tokens to generate in all
  uint32_t mResumed = 0;      // of them already generated
  uint64_t mPrefix = 0;       // hash of a shared prefix, 0 = none
  uint32_t mPrefixTokens = 0; // its length
};

enum class EngineOutputKind : uint8_t
{
  eToken,
  eFinished, // after the last token
  eBroken,   // the engine fell over or restarted
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
  uint32_t mRunning = 0; // tokens are generated
  uint32_t mWaiting = 0; // the prompt is not read yet
  bool mCold = false;
};

struct CacheEvent
{
  MonoTime mTold; // when it is told
  uint64_t mPrefix = 0;
  bool mStored = true; // false: evicted
};

struct EngineRunning
{
  EngineCall mCall;
  double mUnreadPrompt = 0; // prompt tokens not read yet
  uint32_t mGenerated = 0;  // tokens, over all resumes
  bool mInStep = false;     // takes part in the present step
};

struct EngineModel
{
  EngineSettings mSettings;
  Random mRandom;
  uint64_t mStart = 1;                // counts starts; part of the start id
  std::deque<EngineRunning> mRunning; // in the order of admission
  bool mStepping = false;
  MonoTime mStepEnd{ 0 };
  MonoTime mWarmAt{ 0 };
  MonoTime mUpAt{ 0 };    // refuses connections until then
  bool mCrashing = false; // breaks at the end of this step
  std::list<std::pair<uint64_t, uint32_t>> mCache;      // prefix, newest first
  uint64_t mCached = 0;                                 // tokens in mCache
  std::deque<CacheEvent> mCacheEvents;                  // not told yet
  std::deque<std::pair<MonoTime, EngineLoad>> mHistory; // for lagging reports
  uint64_t mOrderToken = 0;                             // newest seen
  std::vector<std::string> mModels;                     // loaded
  uint64_t mCallsAboveColdCapacity =
    0; // calls admitted above what it bears cold
  uint64_t mCrashes = 0;
  uint64_t mTokens = 0; // generated
};

EngineModel
MakeEngine(const EngineSettings& aSettings, MonoTime aNow, bool aCold);

bool
IsCold(const EngineModel& aEngine, MonoTime aNow);

// False when connections are refused.
bool
AdmitCall(EngineModel& aEngine, MonoTime aNow, const EngineCall& aCall);

// The call gives no output any more. False if it was not running.
bool
CancelCall(EngineModel& aEngine, MonoTime aNow, uint64_t aCall);

// Appends all output up to aNow, in the order of time.
void
AdvanceEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut);

// The next time at which AdvanceEngine has something to do.
MonoTime
NextEngineStep(const EngineModel& aEngine);

// Starts the process anew: running calls break, and it is cold.
void
RestartEngine(EngineModel& aEngine,
              MonoTime aNow,
              std::vector<EngineOutput>& aOut);

// Turns cold in the middle of its work, without a word.
void
MakeEngineCold(EngineModel& aEngine, MonoTime aNow);

// The load as it was some time ago.
EngineLoad
ReportedLoad(const EngineModel& aEngine, MonoTime aNow);

// Cache events whose time has come; some never come.
std::vector<CacheEvent>
TakeCacheEvents(EngineModel& aEngine, MonoTime aNow);

// Loads or unloads a model. False if the token is older than one seen before
// and the engine checks tokens.
bool
ApplyModelOrder(EngineModel& aEngine,
                bool aLoad,
                const std::string& aModel,
                uint64_t aToken);

// The text of one token of an answer: the same for every run of a request.
std::string
TokenText(uint64_t aSeed, const std::string& aPrompt, uint32_t aToken);

} // namespace caraway
