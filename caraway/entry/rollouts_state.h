#pragma once
// What an entry keeps of the roll-outs of services.

#include <map>
#include <vector>

#include "caraway/rollout/exposure.h"
#include "caraway/rollout/verdict.h"

namespace caraway {

struct ServiceRollout
{
  uint64_t mNumber = 0; // of the roll-out
  Exposure mExposure;
  double mSlack = 0;               // part of the fleet's slack, see Exposure
  RolloutEvidence mEvidence;       // of this entry's calls
  MonoTime mRolledBackAt = kNever; // when this entry heard of it
  // Targets that take part in the trial, for one topology. Sorted.
  uint64_t mTopology = 0; // 0: not computed
  std::vector<TargetId> mTrialTargets;
};

struct EntryRollouts
{
  std::map<ServiceId, ServiceRollout> mServices;
  // False until the first configuration is applied. A roll-out that began
  // before that may have used the slack of an earlier process.
  bool mConfigured = false;
  MonoTime mReportAt = kNever;
};

} // namespace caraway
