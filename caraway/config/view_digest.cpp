// A digest by which two copies of the configuration are compared.

#include "caraway/config/view_digest.h"

#include <algorithm>

#include <xxhash.h>

namespace caraway {

namespace {

struct Digest
{
  uint64_t mValue = 1;

  void Add(std::string_view aText)
  {
    mValue = XXH3_64bits_withSeed(aText.data(), aText.size(), mValue);
  }

  void Add(uint64_t aNumber)
  {
    mValue = XXH3_64bits_withSeed(&aNumber, sizeof(aNumber), mValue);
  }

  template<class Flags>
  void AddFlags(const Flags& aFlags)
  {
    Add(aFlags.size());
    for (const auto& [id, inService] : aFlags) {
      Add(id.mValue);
      Add(inService ? 1 : 0);
    }
  }
};

} // namespace

uint64_t
ViewDigest(const ConfigView& aView)
{
  Digest digest;
  if (aView.mPlan) {
    digest.Add(aView.mPlan->mVersion);
    digest.Add(aView.mPlan->mSource);
  }
  digest.AddFlags(aView.mZoneInService);
  digest.AddFlags(aView.mTargetInService);
  digest.Add(aView.mTargets.size());
  for (const auto& [id, target] : aView.mTargets) {
    digest.Add(id.mValue);
    digest.Add(target.mService.mValue);
    digest.Add(target.mAddress);
    digest.Add(target.mVersion);
    digest.Add(static_cast<uint64_t>(target.mStartedAt));
    digest.Add(target.mDraining ? 1 : 0);
  }
  digest.Add(aView.mMembers.size());
  for (const auto& [id, member] : aView.mMembers) {
    digest.Add(id.mValue);
    digest.Add(member.mEpoch.mValue);
    digest.Add(member.mDraining ? 1 : 0);
  }
  digest.Add(aView.mRollouts.size());
  for (const auto& [service, rollout] : aView.mRollouts) {
    digest.Add(service.mValue);
    digest.Add(rollout.mNumber);
    digest.Add(static_cast<uint64_t>(rollout.mPhase));
  }
  digest.Add(aView.mInputBlocks.size());
  for (const auto& [id, block] : aView.mInputBlocks) {
    digest.Add(id.mValue);
    digest.Add(block.mProbation ? 1 : 0);
  }
  return std::max<uint64_t>(digest.mValue, 1);
}

} // namespace caraway
