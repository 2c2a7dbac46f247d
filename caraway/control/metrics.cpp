// Metrics of the control role in the Prometheus text format.

#include "absl/strings/str_cat.h"
#include "caraway/consensus/raft_api.h"
#include "caraway/control/control.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

struct MetricWriter
{
  std::string mText;

  template<class T>
  void Line(const char* aName, const char* aType, T aValue)
  {
    absl::StrAppend(&mText,
                    "# TYPE caraway_control_",
                    aName,
                    " ",
                    aType,
                    "\ncaraway_control_",
                    aName,
                    " ",
                    aValue,
                    "\n");
  }

  // One sample for each replica of the group.
  template<class ValueOf>
  void PerReplica(const char* aName,
                  const std::vector<ReplicaContact>& aContacts,
                  ValueOf aValueOf)
  {
    absl::StrAppend(&mText, "# TYPE caraway_control_", aName, " gauge\n");
    for (const ReplicaContact& one : aContacts) {
      absl::StrAppend(&mText,
                      "caraway_control_",
                      aName,
                      "{replica=\"",
                      one.mId.mValue,
                      "\",role=\"",
                      one.mVoter ? "voter" : "learner",
                      "\"} ",
                      aValueOf(one),
                      "\n");
    }
  }
};

// Only the leader hears the voters; on other replicas the gauges are 0.
void
AddGroup(MetricWriter& aOut, const Control& aControl, MonoTime aNow)
{
  const std::vector<ReplicaContact> contacts = ContactsOf(aControl, aNow);
  const GroupStrength strength = StrengthOf(contacts);
  const bool leaderless = LeaderOf(aControl.mRaft).IsNone();
  aOut.Line("leaderless_ms",
            "gauge",
            leaderless ? (aNow - aControl.mLeaderlessSince).Millis() : 0);
  aOut.Line("voters", "gauge", strength.mVoters);
  aOut.Line("voters_heard", "gauge", strength.mVotersHeard);
  aOut.Line("voters_silent", "gauge", strength.mVoters - strength.mVotersHeard);
  aOut.Line("learners", "gauge", strength.mLearners);
  aOut.Line("losses_borne", "gauge", LossesBorne(strength));
  aOut.Line("commit_stalled_ms", "gauge", CommitStall(aControl, aNow).Millis());
  Duration learning;
  for (const ReplicaContact& one : contacts) {
    learning = std::max(learning, one.mLearning);
  }
  aOut.Line("learning_ms", "gauge", learning.Millis());
  aOut.PerReplica("replica_silence_ms", contacts, [](const auto& aOne) {
    return aOne.mSilence.Millis();
  });
  aOut.PerReplica(
    "replica_lag", contacts, [](const auto& aOne) { return aOne.mLag; });
}

void
AddRollouts(MetricWriter& aOut, const Control& aControl)
{
  uint64_t active = 0;
  uint64_t rolledBack = 0;
  for (const auto& [service, rollout] :
       aControl.mState.mConfig.mView.mRollouts) {
    active += IsActive(rollout) ? 1 : 0;
    rolledBack += rollout.mPhase == RolloutPhase::eRolledBack ? 1 : 0;
  }
  aOut.Line("rollouts_active", "gauge", active);
  aOut.Line("rollouts_rolled_back", "gauge", rolledBack);
  Exposure sum;
  for (const auto& [service, watch] : aControl.mLeadership.mRollouts) {
    const Exposure one = SumExposure(watch);
    sum.mRequests += one.mRequests;
    sum.mTrial += one.mTrial;
  }
  aOut.Line("rollout_requests", "gauge", sum.mRequests);
  aOut.Line("rollout_trial_requests", "gauge", sum.mTrial);
  aOut.Line("rollout_steps_total", "counter", aControl.mCounters.mRolloutSteps);
}

} // namespace

std::string
MetricsText(const Control& aControl, MonoTime aNow)
{
  const ConfigView& view = aControl.mState.mConfig.mView;
  const Sessions& sessions = aControl.mLeadership.mSessions;
  const ControlCounters& counters = aControl.mCounters;
  MetricWriter out;
  out.Line("is_leader", "gauge", IsLeader(aControl.mRaft) ? 1 : 0);
  out.Line("term", "gauge", TermOf(aControl.mRaft).mValue);
  out.Line("commit_index", "gauge", CommitIndex(aControl.mRaft).mValue);
  out.Line("applied_index", "gauge", aControl.mState.mApplied.mValue);
  out.Line("revision", "gauge", view.mRevision.mValue);
  out.Line("revision_in_force", "gauge", sessions.mReported.mValue);
  AddGroup(out, aControl, aNow);
  out.Line("contracts", "gauge", view.mContracts.size());
  out.Line("keys", "gauge", view.mKeys.size());
  out.Line("members", "gauge", view.mMembers.size());
  out.Line("members_without_lease", "gauge", sessions.mWithoutLease);
  out.Line("targets", "gauge", view.mTargets.size());
  out.Line(
    "targets_unlisted", "gauge", aControl.mState.mUnlistedTargets.size());
  out.Line("config_polls", "gauge", aControl.mPolls.mPolls.size());
  out.Line("open_proposals", "gauge", aControl.mLeadership.mProposals.size());
  out.Line("config_deltas_total", "counter", aControl.mPolls.mDeltas);
  out.Line(
    "config_snapshot_parts_total", "counter", aControl.mPolls.mSnapshotParts);
  out.Line("proposals_total", "counter", counters.mProposals);
  out.Line("renewals_total", "counter", counters.mRenewals);
  out.Line("grant_requests_total", "counter", counters.mGrants);
  out.Line("ledger_calls_total", "counter", counters.mCalls);
  out.Line("items_leased_total", "counter", counters.mItemsLeased);
  out.Line("members_removed_total", "counter", counters.mRemoved);
  out.Line("leader_changes_total", "counter", counters.mLeaderChanges);
  out.Line("input_blocks", "gauge", view.mInputBlocks.size());
  out.Line("crashes_reported_total", "counter", counters.mCrashesReported);
  out.Line("input_blocks_set_total", "counter", counters.mBlocksSet);
  out.Line("input_blocks_lifted_total", "counter", counters.mBlocksLifted);
  AddRollouts(out, aControl);
  return out.mText;
}

} // namespace caraway
