// Chooses the subset of targets of an entry by rendezvous hashing.

#include "caraway/routing/subset.h"

#include <algorithm>
#include <tuple>

#include "caraway/routing/hash.h"

namespace caraway {

namespace {

// A third of the subset is in other zones, so that work can spill over.
constexpr uint32_t kRemoteShare = 3;
// Every target has at least this many entries, so that one entry may fail.
constexpr uint64_t kMinHomes = 2;

struct Candidate
{
  InstanceId mNode;
  uint64_t mScore = 0;
  bool mHome = false;     // preferred to others
  bool mRequired = false; // taken even if the subset is full
};

std::vector<InstanceId>
EntriesOf(const SubsetInput& aInput, const ZoneId* aZone)
{
  std::vector<InstanceId> entries;
  auto add = [&](const SubsetEntry& aEntry) {
    if (aZone == nullptr || aEntry.mZone == *aZone) {
      entries.push_back(aEntry.mInstance);
    }
  };
  add(aInput.mSelf);
  for (const SubsetEntry& entry : aInput.mEntries) {
    if (entry.mInstance != aInput.mSelf.mInstance) {
      add(entry);
    }
  }
  return entries;
}

// Counts the entries with a better score for the target, up to aLimit.
uint64_t
CountBetter(const SubsetInput& aInput,
            const std::vector<InstanceId>& aEntries,
            const InstanceId& aNode,
            uint64_t aOwnScore,
            uint64_t aLimit)
{
  uint64_t better = 0;
  for (const InstanceId& entry : aEntries) {
    if (better < aLimit && entry != aInput.mSelf.mInstance &&
        RendezvousScore(entry.mValue, aNode.mValue) > aOwnScore) {
      ++better;
    }
  }
  return better;
}

std::vector<Candidate>
RankCandidates(const SubsetInput& aInput,
               const std::vector<InstanceId>& aNodes,
               const std::vector<InstanceId>& aEntries,
               uint32_t aSlots)
{
  std::vector<Candidate> ranked;
  if (aNodes.empty()) {
    return ranked;
  }
  // Half of the mean number of entries per target are homes. The other half
  // takes the target to fill up, which keeps each entry's subset near its size.
  const uint64_t mean = aEntries.size() * aSlots / aNodes.size();
  const uint64_t homes = std::max(kMinHomes, (mean + 1) / 2);
  for (const InstanceId& node : aNodes) {
    const uint64_t score =
      RendezvousScore(aInput.mSelf.mInstance.mValue, node.mValue);
    const uint64_t better =
      aEntries.empty() ? homes
                       : CountBetter(aInput, aEntries, node, score, homes);
    ranked.push_back({ node, score, better < homes, better < kMinHomes });
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return std::tuple(aLeft.mRequired, aLeft.mHome, aLeft.mScore) >
                     std::tuple(aRight.mRequired, aRight.mHome, aRight.mScore);
            });
  return ranked;
}

// Takes all required candidates, and others up to aSlots in total.
void
TakeCandidates(const std::vector<Candidate>& aRanked,
               size_t aSlots,
               std::vector<InstanceId>& aOut)
{
  size_t taken = 0;
  for (const Candidate& candidate : aRanked) {
    if (candidate.mRequired || taken < aSlots) {
      aOut.push_back(candidate.mNode);
      ++taken;
    }
  }
}

// Ranks the targets of other zones. Those of zones without any entry have their
// home entries among the entries of all zones.
std::vector<Candidate>
RankRemoteCandidates(const SubsetInput& aInput, uint32_t aSlots)
{
  std::vector<InstanceId> covered;
  std::vector<InstanceId> uncovered;
  for (const SubsetTarget& target : aInput.mTargets) {
    if (target.mZone == aInput.mSelf.mZone) {
      continue;
    }
    const bool hasEntry = std::any_of(
      aInput.mEntries.begin(),
      aInput.mEntries.end(),
      [&](const SubsetEntry& aEntry) { return aEntry.mZone == target.mZone; });
    (hasEntry ? covered : uncovered).push_back(target.mNode);
  }
  std::vector<Candidate> ranked =
    RankCandidates(aInput, uncovered, EntriesOf(aInput, nullptr), aSlots);
  const std::vector<Candidate> rest =
    RankCandidates(aInput, covered, {}, aSlots);
  ranked.insert(ranked.end(), rest.begin(), rest.end());
  return ranked;
}

} // namespace

std::vector<InstanceId>
ChooseSubset(const SubsetInput& aInput)
{
  std::vector<InstanceId> local;
  for (const SubsetTarget& target : aInput.mTargets) {
    if (target.mZone == aInput.mSelf.mZone) {
      local.push_back(target.mNode);
    }
  }
  const auto remoteCount =
    static_cast<uint32_t>(aInput.mTargets.size() - local.size());
  const auto localCount = static_cast<uint32_t>(local.size());
  const uint32_t size = aInput.mSize;
  const uint32_t wantRemote =
    localCount == 0 ? size : std::max(size / kRemoteShare, 1U);
  const uint32_t localSlots = size - std::min(wantRemote, remoteCount);
  const uint32_t remoteSlots = size - std::min(localSlots, localCount);

  std::vector<InstanceId> chosen;
  const std::vector<InstanceId> neighbours =
    EntriesOf(aInput, &aInput.mSelf.mZone);
  TakeCandidates(
    RankCandidates(aInput, local, neighbours, localSlots), localSlots, chosen);
  TakeCandidates(
    RankRemoteCandidates(aInput, remoteSlots), remoteSlots, chosen);
  return chosen;
}

} // namespace caraway
