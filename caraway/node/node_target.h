#pragma once
// What the node knows of the target beside it.

#include <map>
#include <string>
#include <vector>

#include "caraway/config/member.h"
#include "caraway/node/node_io.h"
#include "caraway/scheduling/work.h"

namespace caraway {

// An announcement as it came.
struct Announcement
{
  TargetInfo mInfo;
  std::string mUrl;
  std::string mStartId;
  bool mCanCancel = false;
};

struct NodeTarget
{
  Announcement mAnnounced;
  bool mPresent = false;           // announced, and not silent since
  MonoTime mHeardAt;               // last announcement
  bool mLeaving = false;           // POST /leave; ends with a new start id
  bool mForeignCallsEnded = false; // nothing foreign was running any more
  TargetCallId mLoadCall;          // GET /load in progress
  std::string mLoadBody;           // its answer so far
  int mLoadStatus = 0;
  MonoTime mLoadAt{ 0 }; // next GET /load
  uint32_t mOwnPeak = 0; // most own calls in this and the last interval
  uint32_t mOwnPeakBefore = 0;
};

// What a call to the target is for.
enum class TargetUse : uint8_t
{
  eOnline,
  eBatch,
  eLoad,
  eCancel,
  eOrder,
};

struct TargetCallInfo
{
  TargetUse mUse = TargetUse::eOnline;
  WorkId mWork;           // online and batch
  LoadOrder mOrder;       // orders
  PeerAddress mOrderFrom; // orders
  int mStatus = 0;        // orders
  Duration mTimeout;      // without any byte
  MonoTime mLastByte;
};

} // namespace caraway
