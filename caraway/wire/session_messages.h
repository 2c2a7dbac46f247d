#pragma once
// Messages between members (entries and nodes) and control replicas: sessions,
// their leases and the distribution of the configuration.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/change.h"
#include "caraway/config/config_view.h"

namespace caraway {

// Member -> leader: opens a session. Retransmitted until answered; idempotent
// by the member's incarnation.
struct Register
{
  Member mMember; // mEpoch is ignored
  int64_t mSentAt = 0;
};

struct RegisterReply
{
  InstanceId mInstance;
  uint64_t mIncarnation = 0; // echo
  Epoch mEpoch;
  int64_t mSentAt = 0; // echo
};

// Member -> leader: renews the session's lease, every second and immediately
// after a new revision is applied.
struct Renew
{
  InstanceId mInstance;
  Epoch mEpoch;
  Revision mRevision; // that the member has applied
  int64_t mSentAt = 0;
  TargetInfo mTarget;    // nodes: present state; a change updates the member
  uint32_t mRunning = 0; // nodes: calls at the target
  uint32_t mLimit = 0;   // nodes: present concurrency limit
  bool mDraining = false;
  std::vector<FencingToken> mLeases; // nodes: batch leases with items here
  // Left of the configuration lease by the sender's clock, 0: none. The grantor
  // may have sent more, in replies that did not arrive.
  Duration mLeaseLeft;
  uint64_t mDigest = 0; // entries: ViewDigest of the copy; 0: not stated
};

enum class RenewVerdict : uint8_t
{
  eGranted,
  eUnknownSession, // the epoch has ended; register again
  eRevisionTooOld, // fetch the configuration first
  eCopyDiffers,    // from the configuration at its revision; fetch it whole
};

struct RenewReply
{
  InstanceId mInstance;
  Epoch mEpoch;
  RenewVerdict mVerdict = RenewVerdict::eGranted;
  Duration mLease;     // from mSentAt, before the correction for clock drift
  Revision mRevision;  // newest revision of the leader
  int64_t mSentAt = 0; // echo
  // Of Renew::mLeases. Ended: the items stop. Moved: the target does not serve
  // the job any more, so items that do not run are returned.
  std::vector<FencingToken> mEndedLeases;
  std::vector<FencingToken> mMovedLeases;
};

// Reply of a replica that is not the leader to a message for the leader. The
// member sends the message to mLeader, or to another replica if that is empty.
struct NotLeader
{
  PeerAddress mLeader; // empty when unknown
  // For logs: what the sender knows of its group.
  Term mTerm;
  uint32_t mVoters = 0; // of its newest replica set
  uint32_t mVotes = 0;  // that its last attempt to lead got
  bool mDiskAway = false;
};

// New leader -> entries: announces its leadership.
struct Leading
{
  Term mTerm;
};

// Member -> any replica: long poll for changes of the configuration. The
// replica answers when it has a newer revision.
struct ConfigFetch
{
  Revision mHeld;
  ConfigScope mScope = ConfigScope::eAll;
  uint64_t mSnapshotOffset = 0; // of the snapshot in transfer: next change
  Revision mSnapshotRevision; // of the snapshot in transfer, none: no transfer
};

struct ConfigDelta
{
  Revision mFrom; // applies to a member at this revision or later
  Revision mTo;   // the member's revision afterwards
  std::vector<RevisedChange> mChanges; // in order, only those in scope
};

struct ConfigSnapshotPart
{
  Revision mRevision;
  uint64_t mOffset = 0; // index of the first change in this part
  std::vector<ConfigChange> mChanges;
  bool mLast = false;
};

// Member -> leader: ends the session at a graceful shutdown, after the last
// request.
struct Leave
{
  InstanceId mInstance;
  Epoch mEpoch;
};

} // namespace caraway
