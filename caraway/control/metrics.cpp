// Metrics of the control role in the Prometheus text format.

#include "absl/strings/str_cat.h"
#include "caraway/consensus/raft_api.h"
#include "caraway/control/control.h"

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
};

} // namespace

std::string
MetricsText(const Control& aControl)
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
  out.Line("contracts", "gauge", view.mContracts.size());
  out.Line("keys", "gauge", view.mKeys.size());
  out.Line("members", "gauge", view.mMembers.size());
  out.Line("members_without_lease", "gauge", sessions.mWithoutLease);
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
  return out.mText;
}

} // namespace caraway
