// Three replicas agree on a log of 200 entries. The leader is stopped after 100
// entries; the program fails if a running replica lacks an accepted entry.

#include <cstdio>
#include <deque>

#include "caraway/consensus/raft_api.h"

using namespace caraway;
using Actions = std::vector<RaftAction>;
constexpr size_t kReplicas = 3;

struct Group
{
  MonoTime mNow{ 1000 };
  std::vector<Raft> mRafts = std::vector<Raft>(kReplicas);
  size_t mStopped = kReplicas; // index of the stopped replica; kReplicas = none
  std::vector<std::vector<std::string>> mApplied{ {}, {}, {} };
  std::deque<RaftMessage> mNetwork;
};

// Performs the actions that Raft asks for. An application must sync the file of
// a RaftWrite before it calls RaftWritten.
static void
PerformActions(Group& aGroup, size_t aSelf, Actions aActions)
{
  Raft& raft = aGroup.mRafts[aSelf];
  for (size_t n = 0; n < aActions.size(); ++n) {
    const RaftAction action = aActions[n];
    if (const auto* write = std::get_if<RaftWrite>(&action)) {
      RaftWritten(raft, aGroup.mNow, write->mWrite, true, aActions);
    } else if (const auto* send = std::get_if<RaftSend>(&action)) {
      aGroup.mNetwork.push_back(send->mMessage);
    } else if (const auto* apply = std::get_if<RaftApply>(&action)) {
      for (const LogEntry& entry : apply->mEntries) {
        if (entry.mKind == LogEntryKind::eCommand) {
          aGroup.mApplied[aSelf].push_back(entry.mPayload);
        }
      }
    }
  }
}

static void
Tick(Group& aGroup)
{
  aGroup.mNow = aGroup.mNow + Millis(1);
  for (size_t n = 0; n < kReplicas; ++n) {
    Actions actions;
    if (aGroup.mStopped != n && NextWakeup(aGroup.mRafts[n]) <= aGroup.mNow) {
      RaftWakeup(aGroup.mRafts[n], aGroup.mNow, actions);
    }
    PerformActions(aGroup, n, actions);
  }
  for (; !aGroup.mNetwork.empty(); aGroup.mNetwork.pop_front()) {
    const RaftMessage message = aGroup.mNetwork.front();
    const size_t to = message.mTo.mValue - 1;
    Actions actions;
    if (aGroup.mStopped != to) {
      RaftReceive(aGroup.mRafts[to], aGroup.mNow, message, actions);
    }
    PerformActions(aGroup, to, actions);
  }
}

int
main()
{
  Group group;
  const ReplicaSet set{
    { { ReplicaId(1), "r1" }, { ReplicaId(2), "r2" }, { ReplicaId(3), "r3" } }
  };
  for (size_t n = 0; n < kReplicas; ++n) {
    group.mRafts[n] =
      MakeRaft({}, GroupId(0), ReplicaId(n + 1), {}, set, 7 + n, group.mNow);
  }
  std::vector<std::string> accepted;
  for (int millis = 0; millis < 20000; ++millis) {
    const size_t n = millis % kReplicas;
    Raft& raft = group.mRafts[n];
    const std::string text = std::to_string(accepted.size());
    Actions actions;
    Tick(group); // a heartbeat carries the latest commit index
    if (accepted.size() < 200 && group.mStopped != n &&
        HoldsLeaderLease(raft, group.mNow) &&
        RaftPropose(raft, group.mNow, LogEntryKind::eCommand, text, actions)
          .ok()) {
      PerformActions(group, n, actions);
      Tick(group); // one round trip to the followers commits the entry
      accepted.push_back(text);
      group.mStopped = accepted.size() == 100 ? n : group.mStopped;
    }
  }
  bool good = accepted.size() == 200;
  for (size_t n = 0; n < kReplicas; ++n) {
    good = good && (group.mStopped == n || group.mApplied[n] == accepted);
  }
  std::puts(good ? "ok" : "FAILED: an accepted entry is missing");
  return good ? 0 : 1;
}
