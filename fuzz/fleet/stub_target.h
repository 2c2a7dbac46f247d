#pragma once
// Minimal target: answers each call after a service time and records what it
// executed, independent of the system's decisions.

#include <map>
#include <string>
#include <vector>

#include "caraway/caraway.h"

namespace caraway::fleet {

// One execution of a request, as the target saw it.
struct Execution
{
  std::string mMarker; // from the body, unique per caller request or batch item
  InstanceId mNode;
  ZoneId mZone;
  TargetId mTarget;
  MonoTime mStarted;
  bool mSawSecret = false; // a header or the body contained a caller's key
};

struct TargetCall
{
  std::string mMarker;
  std::string mPath;
  bool mBegan = false;
  MonoTime mNext; // time at which the next part of the answer is due
  int mPiecesLeft = 0;
  bool mStream = false;
};

struct StubTarget
{
  std::string mStartId;
  std::string mName;
  bool mEngine = true;
  bool mAlive = true;
  bool mSilent = false; // accepts and never answers
  bool mCold = false;   // must get at most mColdCallLimit calls at once
  MonoTime mWarmAt;
  uint32_t mColdCallLimit = 2;
  Duration mServiceTime = Millis(40);
  MonoTime mNextAnnounce;
  std::map<TargetCallId, TargetCall> mCalls;
  uint32_t mMostWhileCold = 0; // highest count of concurrent calls while cold
};

// Returns the marker "m-<number>" in a body, empty if there is none.
std::string
MarkerIn(const std::string& aBody);

// Returns the complete answer for a marker, which a caller must receive byte
// for byte.
std::string
AnswerBody(const std::string& aMarker);
std::string
StreamPiece(const std::string& aMarker, int aPiece);
constexpr int kStreamPieces = 4;
std::string
WholeStream(const std::string& aMarker);

// Starts a call and records an execution, unless the target is dead.
bool
StartCall(StubTarget& aTarget,
          MonoTime aNow,
          const StartTargetCall& aCall,
          std::vector<NodeEvent>& aOut);

// Emits the parts of answers that are due.
void
AdvanceTarget(StubTarget& aTarget, MonoTime aNow, std::vector<NodeEvent>& aOut);

MonoTime
NextTargetEvent(const StubTarget& aTarget);

// Kills the target process; every open call fails.
void
KillTarget(StubTarget& aTarget, std::vector<NodeEvent>& aOut);

std::string
AnnounceBody(const StubTarget& aTarget);

} // namespace caraway::fleet
