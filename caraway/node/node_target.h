#pragma once
// What the node knows about its target, and the HTTP calls to it.

#include <map>
#include <string>
#include <vector>

#include "caraway/config/member.h"
#include "caraway/node/node_io.h"
#include "caraway/scheduling/work.h"

namespace caraway {

// A target's announcement, as received.
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
  bool mPresent = false; // announced, and not silent for too long
  MonoTime mHeardAt;     // last announcement
  bool mLeaving = false; // POST /leave received; reset by a new start id
  bool mForeignCallsEnded = false; // all calls by others have finished
  TargetCallId mLoadCall;          // GET /load in progress
  std::string mLoadBody;           // response received so far
  int mLoadStatus = 0;
  MonoTime mLoadAt{ 0 };       // next GET /load
  uint32_t mOwnPeak = 0;       // most calls of this node in this poll interval
  uint32_t mOwnPeakBefore = 0; // the same in the interval before
};

// Purpose of an HTTP call to the target.
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
  Duration mTimeout;      // without any byte received
  MonoTime mLastByte;
  // The connection has closed, which ended the answer, and the target is
  // checked: only a target that still runs may have completed the answer.
  bool mEndCheck = false;
};

} // namespace caraway
