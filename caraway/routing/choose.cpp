// Chooses the target of one request.

#include "caraway/routing/choose.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

struct Option
{
  const RouteCandidate* mCandidate = nullptr;
  double mLoad = 0;
  uint32_t mLimit = 1;
  MonoTime mAvoidUntil;
  bool mAvoided = false;
};

struct Pick
{
  const Option* mOption = nullptr;
  const char* mReason = "";
};

std::vector<Option>
OptionsOf(const std::vector<RouteCandidate>& aCandidates,
          const TargetStates& aStates,
          const RouteQuery& aQuery,
          MonoTime aNow)
{
  static const TargetState kFresh;
  std::vector<Option> options;
  for (const RouteCandidate& candidate : aCandidates) {
    if (std::find(aQuery.mExclude.begin(),
                  aQuery.mExclude.end(),
                  candidate.mNode) != aQuery.mExclude.end()) {
      continue;
    }
    auto found = aStates.find(candidate.mNode);
    const TargetState& state = found == aStates.end() ? kFresh : found->second;
    options.push_back({ &candidate,
                        LoadOf(state, aNow),
                        LimitOf(state, aNow),
                        state.mAvoidUntil,
                        IsAvoided(state, aNow) });
  }
  return options;
}

double
MeanLoad(const std::vector<const Option*>& aOptions)
{
  double sum = 0;
  for (const Option* option : aOptions) {
    sum += option->mLoad;
  }
  return aOptions.empty() ? 0 : sum / static_cast<double>(aOptions.size());
}

// Returns the options in the local zone if their mean load is at most the
// threshold, else all options (aSpills is set).
std::vector<const Option*>
OptionsInZones(const std::vector<const Option*>& aOptions,
               const RouteQuery& aQuery,
               bool& aSpills)
{
  std::vector<const Option*> local;
  for (const Option* option : aOptions) {
    if (option->mCandidate->mZone == aQuery.mLocalZone) {
      local.push_back(option);
    }
  }
  aSpills = local.empty() || MeanLoad(local) > aQuery.mSpillThreshold;
  return aSpills ? aOptions : local;
}

// Returns the preferred target of the prefix, or nullptr if its load is above
// the bound. The bound allows one call more than its share of the mean load, or
// idle targets would never qualify.
const Option*
AffinityOption(const std::vector<const Option*>& aOptions,
               const RouteQuery& aQuery)
{
  const Option* best = nullptr;
  uint64_t bestScore = 0;
  for (const Option* option : aOptions) {
    const uint64_t score =
      RendezvousScore(aQuery.mPrefix, option->mCandidate->mNode.mValue);
    if (best == nullptr || score > bestScore) {
      best = option;
      bestScore = score;
    }
  }
  const double bound =
    MeanLoad(aOptions) * aQuery.mAffinityBound + 1.0 / best->mLimit;
  return best->mLoad <= bound ? best : nullptr;
}

const Option*
LessLoadedOfTwo(const std::vector<const Option*>& aOptions, Random& aRandom)
{
  const uint64_t count = aOptions.size();
  const uint64_t first = DrawBelow(aRandom, count);
  if (count == 1) {
    return aOptions[0];
  }
  const uint64_t step = 1 + DrawBelow(aRandom, count - 1);
  const Option* left = aOptions[first];
  const Option* right = aOptions[(first + step) % count];
  return right->mLoad < left->mLoad ? right : left;
}

Pick
PickByLoad(const std::vector<const Option*>& aOptions,
           const RouteQuery& aQuery,
           Random& aRandom)
{
  bool spills = false;
  const std::vector<const Option*> reach =
    OptionsInZones(aOptions, aQuery, spills);
  if (reach.size() == 1) {
    return { reach[0], "only candidate in the zones in use" };
  }
  if (aQuery.mPrefix != 0) {
    if (const Option* affine = AffinityOption(reach, aQuery)) {
      return { affine, "prefix affinity" };
    }
  }
  return { LessLoadedOfTwo(reach, aRandom),
           spills ? "less loaded of two, all zones"
                  : "less loaded of two, local zone" };
}

Pick
PickOne(const std::vector<Option>& aOptions,
        const RouteQuery& aQuery,
        Random& aRandom)
{
  std::vector<const Option*> usable;
  for (const Option& option : aOptions) {
    if (!option.mAvoided) {
      usable.push_back(&option);
    }
  }
  if (aOptions.empty()) {
    return { nullptr, "no candidate" };
  }
  if (usable.empty()) {
    auto soonest =
      std::min_element(aOptions.begin(),
                       aOptions.end(),
                       [](const Option& aLeft, const Option& aRight) {
                         return aLeft.mAvoidUntil < aRight.mAvoidUntil;
                       });
    return { &*soonest,
             "all candidates failed recently; using the first to recover" };
  }
  switch (aQuery.mPolicy) {
    case RoutePolicy::eRoundRobin:
      return { usable[aQuery.mRoundRobin % usable.size()], "round robin" };
    case RoutePolicy::eRandom:
      return { usable[DrawBelow(aRandom, usable.size())], "random" };
    case RoutePolicy::eLeastLoaded:
      break;
  }
  return PickByLoad(usable, aQuery, aRandom);
}

std::string
CandidateText(const std::vector<Option>& aOptions)
{
  std::string text;
  for (const Option& option : aOptions) {
    absl::StrAppend(&text,
                    text.empty() ? "" : ",",
                    option.mCandidate->mNode.mValue,
                    absl::StrFormat("=%.2f", option.mLoad),
                    option.mAvoided ? "!" : "");
  }
  return text;
}

} // namespace

RouteChoice
ChooseTarget(const std::vector<RouteCandidate>& aCandidates,
             const TargetStates& aStates,
             const RouteQuery& aQuery,
             MonoTime aNow,
             Random& aRandom)
{
  const std::vector<Option> options =
    OptionsOf(aCandidates, aStates, aQuery, aNow);
  const Pick pick = PickOne(options, aQuery, aRandom);
  RouteChoice choice;
  if (pick.mOption != nullptr) {
    choice.mNode = pick.mOption->mCandidate->mNode;
  }
  choice.mLog.mLevel = LogLevel::eInfo;
  choice.mLog.mEvent = "route";
  choice.mLog.mRequest = aQuery.mRequest;
  choice.mLog.mWorkspace = aQuery.mWorkspace;
  choice.mLog.mChoice = choice.mNode ? choice.mNode->mValue : "none";
  choice.mLog.mReason = pick.mReason;
  choice.mLog.mExtra = { { "candidates", CandidateText(options) } };
  return choice;
}

} // namespace caraway
