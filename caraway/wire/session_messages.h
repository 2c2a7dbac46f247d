#pragma once
// Messages between members (entries, nodes) and control: sessions,
// configuration distribution and leases.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/change.h"
#include "caraway/config/config_view.h"

namespace caraway {

// Member -> leader. Sent again until answered; the incarnation makes it
// idempotent.
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

// Member -> leader, every second and at once after applying a new revision.
struct Renew
{
  InstanceId mInstance;
  Epoch mEpoch;
  Revision mRevision; // held and applied
  int64_t mSentAt = 0;
  TargetInfo mTarget;    // nodes: as it is now; a difference updates the member
  uint32_t mRunning = 0; // nodes: calls at the target
  uint32_t mLimit = 0;   // nodes: present concurrency limit
  bool mDraining = false;
};

enum class RenewVerdict : uint8_t
{
  eGranted,
  eUnknownSession, // register again: this epoch has ended
  eRevisionTooOld, // the revision held is too old; fetch first
};

struct RenewReply
{
  InstanceId mInstance;
  Epoch mEpoch;
  RenewVerdict mVerdict = RenewVerdict::eGranted;
  Duration mLease;     // from the holder's mSentAt, before drift correction
  Revision mRevision;  // the leader's newest
  int64_t mSentAt = 0; // echo
};

// Answer of a replica that is not the leader to a message for the leader. The
// member sends the message again to mLeader, or to another replica if empty.
struct NotLeader
{
  PeerAddress mLeader; // empty when unknown
};

// New leader -> entries.
struct Leading
{
  Term mTerm;
};

// Member -> any replica. The replica answers when it holds a newer revision.
struct ConfigFetch
{
  Revision mHeld;
  ConfigScope mScope = ConfigScope::eAll;
  uint64_t mSnapshotOffset = 0; // next change wanted of a snapshot in progress
  Revision mSnapshotRevision;   // none when not in a snapshot
};

struct ConfigDelta
{
  Revision mFrom; // applies to a holder at this revision or later
  Revision mTo;   // the holder is at this revision afterwards
  std::vector<RevisedChange> mChanges; // in order; out-of-scope ones left out
};

struct ConfigSnapshotPart
{
  Revision mRevision;
  uint64_t mOffset = 0; // index of the first change in this part
  std::vector<ConfigChange> mChanges;
  bool mLast = false;
};

// Member -> leader: a graceful exit after the last request.
struct Leave
{
  InstanceId mInstance;
  Epoch mEpoch;
};

} // namespace caraway
