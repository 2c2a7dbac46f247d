// Joins the crash reports of all members and decides which input to block.

#include "caraway/poison/crash_evidence.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

// Two crashes can hit the same sound input by chance, when targets are lost in
// a row.
constexpr size_t kMinCrashes = 3;
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxSuspects = 64; // of one crash
constexpr size_t kMaxDecided = 16;
constexpr Duration kEvidenceKept = Seconds(600);
// An answer clears crashes up to this much later: input that was sound until
// then is unlikely to be the cause.
constexpr Duration kAnswerCovers = Seconds(1);
// Members answer a query within a few milliseconds; those that are cut off
// don't hold up the decision for longer.
constexpr Duration kQueryPatience = Millis(300);
// Members report answers of a part for as long after they were asked.
constexpr Duration kQueryHolds = Seconds(25);
constexpr Duration kFirstBlock = Seconds(600);
constexpr Duration kLongestBlock = Seconds(24 * 3600);

// A request at an ended target.
struct Exhibit
{
  const CrashRecord* mCrash;
  const CrashSuspect* mSuspect;
};

using ExhibitIndex = std::map<InputPartId, std::vector<Exhibit>>;

// Crashes up to then do not count against the part.
MonoTime
ClearedUntil(const CrashEvidence& aEvidence, InputPartId aPart)
{
  MonoTime until{ -kNever.mMicros };
  auto answered = aEvidence.mAnsweredAt.find(aPart);
  if (answered != aEvidence.mAnsweredAt.end()) {
    until = answered->second + kAnswerCovers;
  }
  auto pardoned = aEvidence.mPardonedAt.find(aPart);
  return pardoned == aEvidence.mPardonedAt.end()
           ? until
           : std::max(until, pardoned->second);
}

bool
IsSuspectAt(const CrashEvidence& aEvidence,
            const CrashRecord& aCrash,
            InputPartId aPart)
{
  return aCrash.mConfirmed && aCrash.mAt > ClearedUntil(aEvidence, aPart);
}

// Blocks by their first part.
using BlockIndex = std::map<InputPartId, std::vector<const InputBlock*>>;

// The blocks that cover a request at the ended target.
std::vector<const InputBlock*>
BlocksAt(const BlockIndex& aBlocks, const CrashRecord& aCrash)
{
  std::vector<const InputBlock*> found;
  for (const CrashSuspect& suspect : aCrash.mSuspects) {
    for (const InputPartId& part : suspect.mParts) {
      auto blocks = aBlocks.find(part);
      if (blocks == aBlocks.end()) {
        continue;
      }
      for (const InputBlock* block : blocks->second) {
        if (Covers(*block, suspect.mWorkspace, suspect.mParts)) {
          found.push_back(block);
        }
      }
    }
  }
  return found;
}

// True if one of the blocks has other parts than aPart: its input ended the
// target.
bool
IsExplained(const std::vector<const InputBlock*>& aBlocks, InputPartId aPart)
{
  return std::any_of(
    aBlocks.begin(), aBlocks.end(), [&](const InputBlock* aBlock) {
      const InputParts& parts = aBlock->mParts;
      return std::find(parts.begin(), parts.end(), aPart) == parts.end();
    });
}

// The requests that count against each part. Those whose answer had begun count
// only where no other request waited.
ExhibitIndex
ExhibitsByPart(const CrashEvidence& aEvidence, const BlockIndex& aBlocks)
{
  ExhibitIndex index;
  for (const CrashRecord& crash : aEvidence.mCrashes) {
    const bool anyWaited = std::any_of(
      crash.mSuspects.begin(),
      crash.mSuspects.end(),
      [](const CrashSuspect& aSuspect) { return !aSuspect.mBegun; });
    const std::vector<const InputBlock*> blocks = BlocksAt(aBlocks, crash);
    for (const CrashSuspect& suspect : crash.mSuspects) {
      if (suspect.mBegun && anyWaited) {
        continue;
      }
      for (const InputPartId& part : suspect.mParts) {
        if (IsSuspectAt(aEvidence, crash, part) && !IsExplained(blocks, part)) {
          index[part].push_back({ &crash, &suspect });
        }
      }
    }
  }
  return index;
}

size_t
CountCrashes(const std::vector<Exhibit>& aExhibits)
{
  std::set<const CrashRecord*> crashes;
  for (const Exhibit& exhibit : aExhibits) {
    crashes.insert(exhibit.mCrash);
  }
  return crashes.size();
}

// When requests without the part were last answered, as far as that tells it
// from the loss of a service.
MonoTime
OthersAnsweredAt(const CrashEvidence& aEvidence,
                 InputPartId aPart,
                 const std::vector<Exhibit>& aExhibits)
{
  MonoTime oldest = aEvidence.mNewestAnswer;
  if (!aEvidence.mAnsweredAt.contains(aPart)) {
    return oldest;
  }
  for (const Exhibit& exhibit : aExhibits) {
    const ServiceId& service = exhibit.mCrash->mService;
    if (service.Empty()) {
      continue;
    }
    const auto newest = aEvidence.mNewestOf.find(service);
    oldest =
      std::min(oldest,
               newest == aEvidence.mNewestOf.end() ? MonoTime{ -kNever.mMicros }
                                                   : newest->second);
  }
  return oldest;
}

size_t
CountRequests(const std::vector<Exhibit>& aExhibits)
{
  std::set<RequestId> requests;
  for (const Exhibit& exhibit : aExhibits) {
    requests.insert(exhibit.mSuspect->mRequest);
  }
  return requests.size();
}

// What all requests of the exhibits have in common, without parts that have
// been answered since.
InputBlock
CommonInput(const CrashEvidence& aEvidence,
            const std::vector<Exhibit>& aExhibits)
{
  InputBlock block;
  block.mWorkspace = aExhibits.front().mSuspect->mWorkspace;
  for (const InputPartId& part : aExhibits.front().mSuspect->mParts) {
    const bool common = std::all_of(
      aExhibits.begin(), aExhibits.end(), [&](const Exhibit& aExhibit) {
        const InputParts& parts = aExhibit.mSuspect->mParts;
        return IsSuspectAt(aEvidence, *aExhibit.mCrash, part) &&
               std::find(parts.begin(), parts.end(), part) != parts.end();
      });
    if (common) {
      block.mParts.push_back(part);
    }
  }
  std::sort(block.mParts.begin(), block.mParts.end());
  block.mParts.erase(std::unique(block.mParts.begin(), block.mParts.end()),
                     block.mParts.end());
  for (const Exhibit& exhibit : aExhibits) {
    if (exhibit.mSuspect->mWorkspace != block.mWorkspace) {
      block.mWorkspace = {};
    }
  }
  block.mId = InputBlockIdOf(block.mParts, block.mWorkspace);
  block.mCrashes = static_cast<uint32_t>(CountCrashes(aExhibits));
  return block;
}

// True if every request that aNarrow covers is covered by aWide.
bool
IsWider(const InputBlock& aWide, const InputBlock& aNarrow)
{
  return Covers(aWide, aNarrow.mWorkspace, aNarrow.mParts);
}

// True if a block in force covers all requests that aBlock would.
bool
IsCoveredByBlock(const BlockIndex& aBlocks, const InputBlock& aBlock)
{
  return std::any_of(
    aBlock.mParts.begin(), aBlock.mParts.end(), [&](const InputPartId& aPart) {
      auto blocks = aBlocks.find(aPart);
      return blocks != aBlocks.end() &&
             std::any_of(blocks->second.begin(),
                         blocks->second.end(),
                         [&](const InputBlock* aOther) {
                           return !aOther->mProbation &&
                                  IsWider(*aOther, aBlock);
                         });
    });
}

// The length of a block that follows on a probation is twice the former.
Duration
LengthOf(const ConfigView& aView, const InputBlock& aBlock)
{
  Duration length = kFirstBlock;
  for (const auto& [id, block] : aView.mInputBlocks) {
    if (block.mProbation && IsWider(block, aBlock)) {
      length = std::max(length, block.mLength * 2);
    }
  }
  return std::min(length, kLongestBlock);
}

std::vector<const InputBlock*>
BlocksOnProbation(const ConfigView& aView)
{
  std::vector<const InputBlock*> blocks;
  for (const auto& [id, block] : aView.mInputBlocks) {
    if (block.mProbation) {
      blocks.push_back(&block);
    }
  }
  return blocks;
}

size_t
CrashesNeeded(const std::vector<const InputBlock*>& aOnProbation,
              const std::vector<Exhibit>& aExhibits)
{
  const bool onProbation = std::any_of(
    aOnProbation.begin(), aOnProbation.end(), [&](const InputBlock* aBlock) {
      return std::any_of(
        aExhibits.begin(), aExhibits.end(), [&](const Exhibit& aExhibit) {
          return Covers(
            *aBlock, aExhibit.mSuspect->mWorkspace, aExhibit.mSuspect->mParts);
        });
    });
  return onProbation ? 1 : kMinCrashes;
}

DecisionLog
LogBlock(const InputBlock& aBlock, const char* aChoice, std::string aReason)
{
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "input_block";
  log.mWorkspace = aBlock.mWorkspace;
  log.mChoice = aChoice;
  log.mReason = std::move(aReason);
  log.mExtra = {
    { "block", FormatInputBlockId(aBlock.mId) },
    { "parts", FormatParts(aBlock.mParts) },
    { "crashes", absl::StrCat(aBlock.mCrashes) },
    { "length_s", absl::StrCat(static_cast<int64_t>(aBlock.mLength.Seconds())) }
  };
  return log;
}

// Records the time unless a later one is known.
template<class Key>
void
RaiseTime(std::map<Key, MonoTime>& aTimes, const Key& aKey, MonoTime aAt)
{
  MonoTime& known = aTimes.try_emplace(aKey, aAt).first->second;
  known = std::max(known, aAt);
}

// Drops what is too old or too much, and what refers to dropped crashes.
void
Prune(CrashEvidence& aEvidence, MonoTime aNow)
{
  while (!aEvidence.mCrashes.empty() &&
         (aEvidence.mCrashes.size() > kMaxCrashes ||
          aNow - aEvidence.mCrashes.front().mAt > kEvidenceKept)) {
    aEvidence.mCrashes.pop_front();
  }
  std::set<InputPartId> present;
  for (const CrashRecord& crash : aEvidence.mCrashes) {
    for (const CrashSuspect& suspect : crash.mSuspects) {
      present.insert(suspect.mParts.begin(), suspect.mParts.end());
    }
  }
  const auto absent = [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  };
  std::erase_if(aEvidence.mAnsweredAt, absent);
  std::erase_if(aEvidence.mPardonedAt, absent);
  for (auto& [part, asked] : aEvidence.mAsked) {
    if (aNow - asked.mAskedAt >= kQueryPatience) {
      asked.mWaitingFor.clear();
    }
  }
  std::erase_if(aEvidence.mAsked, [&](const auto& aEntry) {
    return !present.contains(aEntry.first) ||
           aNow - aEntry.second.mAskedAt > kQueryHolds;
  });
}

// True if a later start has taken the place of the crashed one: under its id,
// or under another id at its address.
bool
IsSucceeded(const CrashRecord& aCrash, const ConfigView& aView)
{
  auto record = aView.mTargets.find(aCrash.mTarget);
  if (record != aView.mTargets.end()) {
    return record->second.mStartedAt > aCrash.mStartedAt;
  }
  return std::any_of(
    aView.mTargets.begin(), aView.mTargets.end(), [&](const auto& aEntry) {
      return aEntry.second.mAddress == aCrash.mAddress &&
             aEntry.second.mStartedAt > aCrash.mStartedAt;
    });
}

// Not every end shows at the address: a supervisor may start the target again
// at once.
void
ConfirmByRecords(CrashEvidence& aEvidence, const ConfigView& aView)
{
  for (CrashRecord& crash : aEvidence.mCrashes) {
    crash.mConfirmed = crash.mConfirmed || IsSucceeded(crash, aView);
  }
}

// Returns true once all members that are left have answered.
bool
IsAnswered(SuspectedPart& aPart, const std::set<InstanceId>& aMembers)
{
  std::erase_if(aPart.mWaitingFor, [&](const InstanceId& aMember) {
    return !aMembers.contains(aMember);
  });
  return aPart.mWaitingFor.empty();
}

void
LiftBlock(CrashEvidence& aEvidence,
          EvidenceActions& aOut,
          const InputBlock& aBlock,
          const char* aReason)
{
  aOut.mLift.push_back(aBlock);
  aOut.mLogs.push_back(LogBlock(aBlock, "lifted", aReason));
  // Otherwise the input would count as blocked when it crashes targets again.
  std::erase_if(aEvidence.mDecided, [&](const InputBlock& aDecided) {
    return aDecided.mId == aBlock.mId;
  });
}

void
BlockInput(CrashEvidence& aEvidence,
           EvidenceActions& aOut,
           const ConfigView& aView,
           MonoTime aLogicalNow,
           InputBlock aBlock)
{
  aBlock.mSince = aLogicalNow;
  aBlock.mLength = LengthOf(aView, aBlock);
  const InputBlock* oldest = nullptr;
  for (const auto& [id, block] : aView.mInputBlocks) {
    if (oldest == nullptr || block.mSince < oldest->mSince) {
      oldest = &block;
    }
    if (id != aBlock.mId && IsWider(aBlock, block)) {
      LiftBlock(aEvidence, aOut, block, "a wider block replaces it");
    }
  }
  if (aView.mInputBlocks.size() >= kMaxInputBlocks) {
    LiftBlock(aEvidence, aOut, *oldest, "there are too many blocks");
  }
  aOut.mLogs.push_back(
    LogBlock(aBlock,
             "blocked",
             "targets ended under requests with these parts, and none was "
             "answered"));
  aEvidence.mDecided.push_back(aBlock);
  if (aEvidence.mDecided.size() > kMaxDecided) {
    aEvidence.mDecided.pop_front();
  }
  aOut.mBlock.push_back(std::move(aBlock));
}

BlockIndex
KnownBlocks(const CrashEvidence& aEvidence, const ConfigView& aView)
{
  BlockIndex index;
  for (const auto& [id, block] : aView.mInputBlocks) {
    index[block.mParts.front()].push_back(&block);
  }
  for (const InputBlock& block : aEvidence.mDecided) {
    index[block.mParts.front()].push_back(&block);
  }
  return index;
}

// The parts with enough evidence, the most suspected first.
std::vector<InputPartId>
SuspectedParts(const ExhibitIndex& aIndex, const ConfigView& aView)
{
  const std::vector<const InputBlock*> onProbation = BlocksOnProbation(aView);
  std::vector<std::tuple<size_t, size_t, InputPartId>> weighed;
  for (const auto& [part, exhibits] : aIndex) {
    const size_t crashes = CountCrashes(exhibits);
    if (crashes >= CrashesNeeded(onProbation, exhibits)) {
      weighed.emplace_back(crashes, CountRequests(exhibits), part);
    }
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<InputPartId> parts;
  parts.reserve(weighed.size());
  for (const auto& [crashes, requests, part] : weighed) {
    parts.push_back(part);
  }
  return parts;
}

// True if all parts of the block were answered after the crashes under them.
bool
IsCleared(const CrashEvidence& aEvidence,
          const ExhibitIndex& aIndex,
          const InputBlock& aBlock)
{
  return std::all_of(
    aBlock.mParts.begin(), aBlock.mParts.end(), [&](const InputPartId& aPart) {
      return aEvidence.mAnsweredAt.contains(aPart) && !aIndex.contains(aPart);
    });
}

// Lifts blocks whose input was answered after all, or whose probation has
// ended, and puts blocks on probation whose time has ended.
void
EndBlocks(CrashEvidence& aEvidence,
          const ExhibitIndex& aIndex,
          MonoTime aNow,
          MonoTime aLogicalNow,
          const ConfigView& aView,
          EvidenceActions& aOut)
{
  for (const auto& [id, block] : aView.mInputBlocks) {
    const bool ended = aLogicalNow - block.mSince >= block.mLength;
    if (IsCleared(aEvidence, aIndex, block)) {
      LiftBlock(
        aEvidence, aOut, block, "requests with these parts were answered");
    } else if (ended && block.mProbation) {
      LiftBlock(aEvidence, aOut, block, "no crash during the probation");
    } else if (ended) {
      aOut.mBlock.push_back(block);
      aOut.mBlock.back().mProbation = true;
      aOut.mBlock.back().mSince = aLogicalNow;
      PardonParts(aEvidence, aNow, block.mParts);
      aOut.mLogs.push_back(LogBlock(block,
                                    "probation",
                                    "the block's time has ended; one more "
                                    "crash blocks the input again"));
    }
  }
}

} // namespace

void
HandleCrashReport(CrashEvidence& aEvidence,
                  MonoTime aNow,
                  const CrashReport& aReport)
{
  const MonoTime at = aNow - aReport.mAge;
  auto known = std::find_if(aEvidence.mCrashes.begin(),
                            aEvidence.mCrashes.end(),
                            [&](const CrashRecord& aCrash) {
                              return aCrash.mTarget == aReport.mTarget &&
                                     aCrash.mStartedAt == aReport.mStartedAt;
                            });
  if (known == aEvidence.mCrashes.end()) {
    CrashRecord crash;
    crash.mTarget = aReport.mTarget;
    crash.mStartedAt = aReport.mStartedAt;
    crash.mAddress = aReport.mAddress;
    crash.mService = aReport.mService;
    crash.mAt = at;
    aEvidence.mCrashes.push_back(std::move(crash));
    known = std::prev(aEvidence.mCrashes.end());
    ++aEvidence.mReported;
  }
  if (at - known->mAt > kSameEvent) {
    // The target survived what broke before.
    known->mAt = at;
    known->mSuspects.clear();
  }
  known->mConfirmed = known->mConfirmed || aReport.mConfirmed;
  for (const CrashSuspect& suspect : aReport.mSuspects) {
    const bool listed = std::any_of(known->mSuspects.begin(),
                                    known->mSuspects.end(),
                                    [&](const CrashSuspect& aOne) {
                                      return aOne.mRequest == suspect.mRequest;
                                    });
    if (!listed && known->mSuspects.size() < kMaxSuspects) {
      known->mSuspects.push_back(suspect);
    }
  }
  Prune(aEvidence, aNow);
}

void
HandleStartedParts(CrashEvidence& aEvidence,
                   MonoTime aNow,
                   const StartedParts& aStarted)
{
  for (const PartStart& start : aStarted.mParts) {
    RaiseTime(aEvidence.mAnsweredAt, start.mPart, aNow - start.mAge);
  }
  if (aStarted.mNewest >= Duration{}) {
    aEvidence.mNewestAnswer =
      std::max(aEvidence.mNewestAnswer, aNow - aStarted.mNewest);
  }
  for (const ServiceAnswer& answer : aStarted.mServices) {
    RaiseTime(aEvidence.mNewestOf, answer.mService, aNow - answer.mAge);
  }
  for (const InputPartId& part : aStarted.mAsked) {
    auto asked = aEvidence.mAsked.find(part);
    if (asked != aEvidence.mAsked.end()) {
      asked->second.mWaitingFor.erase(aStarted.mMember);
    }
  }
}

void
PardonParts(CrashEvidence& aEvidence, MonoTime aNow, const InputParts& aParts)
{
  for (const InputPartId& part : aParts) {
    aEvidence.mPardonedAt[part] = aNow;
  }
  std::erase_if(aEvidence.mDecided, [&](const InputBlock& aBlock) {
    return aBlock.mParts == aParts;
  });
}

void
ForgetDecisions(CrashEvidence& aEvidence)
{
  aEvidence.mAsked.clear();
  aEvidence.mDecided.clear();
}

EvidenceActions
WeighEvidence(CrashEvidence& aEvidence,
              MonoTime aNow,
              MonoTime aLogicalNow,
              const ConfigView& aView,
              const std::set<InstanceId>& aMembers)
{
  EvidenceActions out;
  if (aEvidence.mCrashes.empty() && aView.mInputBlocks.empty()) {
    return out;
  }
  Prune(aEvidence, aNow);
  ConfirmByRecords(aEvidence, aView);
  BlockIndex blocks = KnownBlocks(aEvidence, aView);
  ExhibitIndex index = ExhibitsByPart(aEvidence, blocks);
  EndBlocks(aEvidence, index, aNow, aLogicalNow, aView, out);
  // Ending a block changes mDecided, to which the index refers.
  blocks = KnownBlocks(aEvidence, aView);
  for (const InputPartId part : SuspectedParts(index, aView)) {
    auto suspected = index.find(part);
    if (suspected == index.end()) {
      continue; // explained by a block of this step
    }
    const std::vector<Exhibit>& exhibits = suspected->second;
    InputBlock common = CommonInput(aEvidence, exhibits);
    if (IsCoveredByBlock(blocks, common)) {
      continue;
    }
    auto [asked, first] =
      aEvidence.mAsked.try_emplace(part, SuspectedPart{ aNow, aMembers });
    if (first) {
      out.mAsk.push_back(part);
    }
    if (!IsAnswered(asked->second, aMembers)) {
      // What is decided about this part may explain the evidence against
      // others.
      break;
    }
    // Without answers to other requests, bad input cannot be told from a
    // service that fails as a whole.
    if (OthersAnsweredAt(aEvidence, part, exhibits) >
          exhibits.front().mCrash->mAt &&
        CountCrashes(exhibits) >=
          CrashesNeeded(BlocksOnProbation(aView), exhibits)) {
      BlockInput(aEvidence, out, aView, aLogicalNow, std::move(common));
      blocks = KnownBlocks(aEvidence, aView);
      index = ExhibitsByPart(aEvidence, blocks);
    }
  }
  return out;
}

MonoTime
NextWakeup(const CrashEvidence& aEvidence)
{
  MonoTime next = kNever;
  for (const auto& [part, asked] : aEvidence.mAsked) {
    if (!asked.mWaitingFor.empty()) {
      next = std::min(next, asked.mAskedAt + kQueryPatience);
    }
  }
  return next;
}

} // namespace caraway
