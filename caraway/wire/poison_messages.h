#pragma once
// Messages by which members and the control leader find the input that crashes
// targets. See caraway/poison/crash_evidence.h.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/poison/input_part.h"

namespace caraway {

// A request at a target that ended, for which the target had not begun to
// write, or had just begun.
struct CrashSuspect
{
  RequestId mRequest; // for logs
  WorkspaceId mWorkspace;
  InputParts mParts;
  bool mBegun = false; // some of the answer had arrived
};

// Calls that break later than this after others at the same start of a target
// are another event: only connections had broken before.
constexpr Duration kSameEvent = Seconds(1);

// Member -> leader: calls at a target broke. Sent again until acknowledged, and
// to each new leader for as long as the evidence counts.
struct CrashReport
{
  uint64_t mNumber = 0; // of the sender's reports, from 1
  TargetId mTarget;
  int64_t mStartedAt = 0;  // Unix milliseconds, identifies the start that ended
  std::string mAddress;    // of the target, "ip:port"
  Duration mAge;           // since the calls broke
  bool mConfirmed = false; // the target's address refuses connections
  ServiceId mService;      // of the target; empty: not known
  std::vector<CrashSuspect> mSuspects;
};

struct CrashReportAck
{
  uint64_t mNumber = 0;
};

// Leader -> members: asks when these parts were last answered. The member
// answers at once, and again whenever it sees one of them answered within the
// next 30 s.
struct SuspectQuery
{
  InputParts mParts;
};

struct PartStart
{
  InputPartId mPart;
  Duration mAge; // since a target last answered a request with this part
};

struct ServiceAnswer
{
  ServiceId mService;
  Duration mAge; // since a target of the service last answered any request
};

// Member -> leader.
struct StartedParts
{
  InstanceId mMember;
  InputParts mAsked; // echo of the query; empty: sent unasked
  std::vector<PartStart> mParts;
  // Since any request of this member was last answered, negative: never.
  Duration mNewest = Micros(-1);
  std::vector<ServiceAnswer> mServices; // the same by service
};

} // namespace caraway
