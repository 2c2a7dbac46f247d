#pragma once
// What a control replica knows of the strength of its group: which voters the
// leader hears, how many further losses the group bears, whether proposals are
// committed, and for how long no leader has been known.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/consensus/raft.h"

namespace caraway {

struct Control;

// A voter that has been silent for longer than elections take does not count as
// alive, and a learner replaces it.
constexpr Duration kAliveTimeout = Seconds(2);

// The leader's view of one replica.
struct ReplicaContact
{
  ReplicaId mId;
  std::string mAddress;
  bool mVoter = false;
  Duration mSilence; // since its last reply; 0 for the leader itself
  uint64_t mLag = 0; // entries of the log that it has not confirmed as synced
  bool mReceivesSnapshot = false;
  Duration mLearning; // since it became a learner under this leader

  bool Heard() const { return mSilence < kAliveTimeout; }
};

struct GroupStrength
{
  size_t mVoters = 0;
  size_t mVotersHeard = 0;
  size_t mLearners = 0;
};

// Losses of voters that the group still bears; 0 if it has no majority.
size_t
LossesBorne(const GroupStrength& aStrength);

// Soft state of the watch. The parts for leaders start anew with each term that
// this replica leads, also before it may serve.
struct GroupWatch
{
  Term mTerm; // led; none: this replica does not lead
  MonoTime mNextScan;
  std::set<ReplicaId> mSilent;   // voters reported as silent
  std::optional<size_t> mLosses; // LossesBorne as logged last
  LogIndex mCommit;              // as of the last scan
  MonoTime mCommitMovedAt;       // or when nothing was left to commit
  bool mStalled = false;         // reported
  std::map<ReplicaId, MonoTime> mLearnerSince;
  MonoTime mNextLearnerLine;
};

// Of every replica, until it knows what is committed.
struct CommitWatch
{
  MonoTime mStartedAt;
  Revision mRecovered; // revision of the snapshot that it started with
  bool mLogged = false;
};

// Empty unless this replica leads.
std::vector<ReplicaContact>
ContactsOf(const Control& aControl, MonoTime aNow);

GroupStrength
StrengthOf(const std::vector<ReplicaContact>& aContacts);

// True while the group bears no loss and a learner receives a snapshot to
// change that: new uploads would delay it. A learner that takes unusually long
// does not hold them up for good.
bool
RepairComesFirst(const std::vector<ReplicaContact>& aContacts);

// For how long entries of the leader have waited without any commit; 0 if none
// waits.
Duration
CommitStall(const Control& aControl, MonoTime aNow);

} // namespace caraway
