// Bounds the requests that a version on trial gets from one entry.

#include "caraway/rollout/exposure.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// The rest is for streams that can only go on at the version on trial.
constexpr double kNewRequestShare = 0.8;
// One target that is grey or slow must not stand for the version; without it,
// two are left.
constexpr size_t kLeastTrialTargets = 3;

} // namespace

bool
MayExpose(const Exposure& aExposure,
          double aShare,
          double aSlack,
          TrialUse aUse)
{
  const double part = aUse == TrialUse::eNewRequest ? kNewRequestShare : 1.0;
  const double allowed =
    part * (aShare * static_cast<double>(aExposure.mRequests) + aSlack);
  return static_cast<double>(aExposure.mTrial) + 1 <= allowed;
}

size_t
TrialTargets(double aShare, size_t aOld)
{
  const auto usual =
    static_cast<size_t>(std::ceil(aShare * static_cast<double>(aOld)));
  return std::max(usual, kLeastTrialTargets);
}

} // namespace caraway
