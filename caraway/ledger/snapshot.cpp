// Encoding of the ledger for snapshots, and validation of decoded state.

#include <algorithm>
#include <limits>

#include "caraway/ledger/internal.h"
#include "caraway/wire/codec.h"
#include "caraway/wire/serialize_base.h"
#include "caraway/wire/serialize_items.h"

namespace caraway {

namespace {

constexpr uint32_t kFormat = 5;
// Earlier formats that are still read.
constexpr uint32_t kFormatWithHeldItems = 4;
constexpr uint32_t kFormatWithoutVersions = 3; // with held items
constexpr uint32_t kFormatBeforeHeldItems = 2; // without versions

// Bounded so that the sum of two valid times or durations does not overflow.
bool
ValidTimes(std::initializer_list<int64_t> aMicros)
{
  return std::all_of(aMicros.begin(), aMicros.end(), [](int64_t aValue) {
    return aValue >= 0 && aValue <= kNever.mMicros;
  });
}

bool
ValidMarks(const std::deque<ExpiryMark>& aMarks)
{
  return std::all_of(aMarks.begin(), aMarks.end(), [](const auto& aMark) {
    return ValidTimes({ aMark.mSince.mMicros });
  });
}

bool
ValidFile(const LedgerFile& aFile)
{
  return aFile.mBytes <= kMaxFileBytes && aFile.mLines <= kMaxFileLines &&
         aFile.mTailBytes <= kMaxLineBytes && aFile.mTailBytes <= aFile.mBytes;
}

bool
ValidJob(const Job& aJob)
{
  const uint64_t finished = uint64_t{ aJob.mCompleted } + aJob.mFailed;
  return finished <= aJob.mTotal &&
         aJob.mDataBytes <= finished * (kMaxResultBytes + 1) &&
         aJob.mStatus <= JobStatus::eExpired && aJob.mWeight >= 1 &&
         aJob.mTotal >= 1 && aJob.mTotal <= kMaxFileLines &&
         (aJob.mItems.empty() || aJob.mItems.size() == aJob.mTotal) &&
         aJob.mOrder.size() == (aJob.mItems.empty() ? 0 : finished) &&
         ValidTimes({ aJob.mDeadline.mMicros, aJob.mWindow.mMicros });
}

// Adds the ranges of aOther. The result is invalid if either set is, or if they
// overlap, so that ValidWork refuses it.
void
JoinRanges(ItemRanges& aRanges, const ItemRanges& aOther)
{
  constexpr uint32_t kAny = std::numeric_limits<uint32_t>::max();
  if (!AreValidRanges(aRanges, kAny)) {
    return;
  }
  if (!AreValidRanges(aOther, kAny)) {
    aRanges = aOther;
    return;
  }
  ItemRanges all = aRanges;
  all.insert(all.end(), aOther.begin(), aOther.end());
  std::sort(all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mBegin < aRight.mBegin;
  });
  aRanges.clear();
  for (const ItemRange& range : all) {
    if (!aRanges.empty() && aRanges.back().mEnd == range.mBegin) {
      aRanges.back().mEnd = range.mEnd;
    } else {
      aRanges.push_back(range);
    }
  }
}

// Checks the invariant of JobWork: every item is in exactly one place.
bool
ValidWork(const Job& aJob, const JobWork& aWork)
{
  if (aJob.mStatus != JobStatus::eInProgress || aWork.mCursor > aJob.mTotal ||
      aWork.mItemLimit == 0 ||
      aWork.mDone.size() != (uint64_t{ aJob.mTotal } + 63) / 64 ||
      !AreValidRanges(aWork.mReturned, aWork.mCursor)) {
    return false;
  }
  std::vector<uint64_t> seen = aWork.mDone;
  uint64_t done = 0;
  for (uint64_t word : seen) {
    done += static_cast<uint64_t>(__builtin_popcountll(word));
  }
  for (uint64_t item = aWork.mCursor; item < seen.size() * 64; ++item) {
    if (IsDone(aWork, static_cast<uint32_t>(item))) {
      return false;
    }
  }
  uint64_t placed = done;
  auto place = [&](const ItemRanges& aRanges) {
    for (const ItemRange& range : aRanges) {
      for (uint32_t item = range.mBegin; item < range.mEnd; ++item) {
        uint64_t& word = seen[item / 64];
        const uint64_t bit = uint64_t{ 1 } << (item % 64);
        placed += (word & bit) == 0 ? 1 : 0;
        word |= bit;
      }
    }
    return CountItems(aRanges);
  };
  uint64_t expected = done + place(aWork.mReturned);
  for (const auto& [token, lease] : aWork.mLeases) {
    if (lease.mItems.empty() || !AreValidRanges(lease.mItems, aWork.mCursor)) {
      return false;
    }
    expected += place(lease.mItems);
  }
  return done == uint64_t{ aJob.mCompleted } + aJob.mFailed &&
         placed == expected && placed == aWork.mCursor;
}

bool
ValidWorkspace(const LedgerWorkspace& aSpace)
{
  for (const auto& [id, file] : aSpace.mFiles) {
    if (!ValidFile(file)) {
      return false;
    }
  }
  uint64_t running = 0;
  for (const auto& [id, job] : aSpace.mJobs) {
    running += job.mStatus == JobStatus::eInProgress ? 1 : 0;
    if (!ValidJob(job)) {
      return false;
    }
  }
  for (const auto& [id, work] : aSpace.mWork) {
    auto job = aSpace.mJobs.find(id);
    if (job == aSpace.mJobs.end() || !ValidWork(job->second, work) ||
        !aSpace.mFiles.contains(job->second.mInput)) {
      return false;
    }
  }
  for (const auto& [key, job] : aSpace.mJobKeys) {
    if (!aSpace.mJobs.contains(job)) {
      return false;
    }
  }
  for (const auto& [model, throughput] : aSpace.mThroughput) {
    if (!ValidTimes({ throughput.mMicroItems }) ||
        throughput.mFinished > kMaxFileBytes) {
      return false;
    }
  }
  return running == aSpace.mWork.size() &&
         std::all_of(aSpace.mClaims.begin(),
                     aSpace.mClaims.end(),
                     [](const auto& aEntry) {
                       return aEntry.second.mState <= ClaimState::eUnknown;
                     });
}

// Each lease must belong to the node session that refers to it, and the other
// way round; open claims must exist.
bool
ValidSessions(const Ledger& aLedger)
{
  size_t refs = 0;
  for (const auto& [owner, session] : aLedger.mNodes) {
    for (const LeaseRef& ref : session.mLeases) {
      const LedgerWorkspace* space = FindWorkspace(aLedger, ref.mWorkspace);
      if (space == nullptr || !space->mWork.contains(ref.mJob)) {
        return false;
      }
      const auto& leases = space->mWork.at(ref.mJob).mLeases;
      auto lease = leases.find(ref.mToken);
      if (lease == leases.end() || lease->second.mNode != owner.first ||
          lease->second.mEpoch != owner.second) {
        return false;
      }
      ++refs;
    }
  }
  for (const auto& [workspace, space] : aLedger.mWorkspaces) {
    for (const auto& [id, work] : space.mWork) {
      refs -= work.mLeases.size();
    }
  }
  for (const auto& [owner, claims] : aLedger.mOpenClaims) {
    for (const auto& [workspace, key] : claims) {
      const LedgerWorkspace* space = FindWorkspace(aLedger, workspace);
      if (space == nullptr || !space->mClaims.contains(key)) {
        return false;
      }
    }
  }
  return refs == 0;
}

bool
ValidLedger(const Ledger& aLedger)
{
  const bool validEnded = std::all_of(
    aLedger.mEnded.begin(), aLedger.mEnded.end(), [](const auto& aEntry) {
      return ValidTimes({ aEntry.second.mAt.mMicros });
    });
  return validEnded &&
         ValidTimes({ aLedger.mNow.mMicros,
                      aLedger.mThroughputSince.mMicros,
                      aLedger.mResultRetention.mMicros,
                      aLedger.mClaimRetention.mMicros }) &&
         ValidMarks(aLedger.mEndedJobMarks) && ValidMarks(aLedger.mFileMarks) &&
         ValidMarks(aLedger.mClaimMarks) &&
         std::all_of(
           aLedger.mWorkspaces.begin(),
           aLedger.mWorkspaces.end(),
           [](const auto& aEntry) { return ValidWorkspace(aEntry.second); }) &&
         ValidSessions(aLedger);
}

} // namespace

template<class Archive>
void
serialize(Archive& aArchive, ItemRange& aValue)
{
  aArchive(aValue.mBegin, aValue.mEnd);
}

template<class Archive>
void
serialize(Archive& aArchive, FilePart& aValue)
{
  aArchive(aValue.mEnd, aValue.mHash);
}

template<class Archive>
void
serialize(Archive& aArchive, LedgerFile& aValue)
{
  aArchive(aValue.mCreatedIndex,
           aValue.mName,
           aValue.mPurpose,
           aValue.mBytes,
           aValue.mLines,
           aValue.mTailBytes,
           aValue.mTailText,
           aValue.mComplete,
           aValue.mLongestLine,
           aValue.mJobs,
           aValue.mCreatedAt,
           aValue.mLastUsedAt,
           aValue.mParts);
}

template<class Archive>
void
serialize(Archive& aArchive, Job& aValue)
{
  aArchive(aValue.mCreatedIndex,
           aValue.mEndpoint,
           aValue.mInput,
           aValue.mModel,
           aValue.mKey,
           aValue.mMetadata,
           aValue.mStatus,
           aValue.mResultsRemoved,
           aValue.mWeight,
           aValue.mTotal,
           aValue.mCompleted,
           aValue.mFailed,
           aValue.mDataBytes,
           aValue.mFingerprint,
           aValue.mDeadline,
           aValue.mWindow,
           aValue.mCreatedAt,
           aValue.mEndedAt,
           aValue.mRoute,
           aValue.mItems,
           aValue.mOrder,
           aValue.mMaxAttempts,
           aValue.mGoal);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemLease& aValue)
{
  aArchive(aValue.mNode, aValue.mEpoch, aValue.mItems);
}

template<class Archive>
void
serialize(Archive& aArchive, JobWork& aValue)
{
  aArchive(aValue.mCursor,
           aValue.mReturned,
           aValue.mDone,
           aValue.mAttempts,
           aValue.mProgress,
           aValue.mLeases,
           aValue.mAtRisk,
           aValue.mSlackKey,
           aValue.mItemLimit);
  if constexpr (Archive::is_loading::value) {
    if (aArchive.mFormat == kFormatWithHeldItems ||
        aArchive.mFormat == kFormatWithoutVersions) {
      // Items that were kept back because of their input are leased again.
      ItemRanges held;
      MonoTime heldSince;
      aArchive(held, heldSince);
      JoinRanges(aValue.mReturned, held);
    }
    if (aArchive.mFormat <= kFormatWithoutVersions) {
      return;
    }
  }
  for (auto& [item, progress] : aValue.mProgress) {
    aArchive(progress.mVersion);
  }
}

template<class Archive>
void
serialize(Archive& aArchive, ClaimRecord& aValue)
{
  aArchive(aValue.mState,
           aValue.mFingerprint,
           aValue.mRequest,
           aValue.mEntry,
           aValue.mEpoch,
           aValue.mClaimedAt,
           aValue.mStatus,
           aValue.mContentType,
           aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, Throughput& aValue)
{
  aArchive(aValue.mMicroItems, aValue.mFinished, aValue.mMeasured);
}

template<class Archive>
void
serialize(Archive& aArchive, LedgerWorkspace& aValue)
{
  aArchive(aValue.mStartTag,
           aValue.mFiles,
           aValue.mJobs,
           aValue.mWork,
           aValue.mJobKeys,
           aValue.mClaims,
           aValue.mClaimBytes,
           aValue.mThroughput);
}

template<class Archive>
void
serialize(Archive& aArchive, LeaseRef& aValue)
{
  aArchive(aValue.mWorkspace, aValue.mJob, aValue.mToken);
}

template<class Archive>
void
serialize(Archive& aArchive, NodeLeaseSession& aValue)
{
  aArchive(aValue.mSequence, aValue.mLastLease, aValue.mLeases);
}

template<class Archive>
void
serialize(Archive& aArchive, ExpiryMark& aValue)
{
  aArchive(aValue.mSince, aValue.mWorkspace, aValue.mId);
}

template<class Archive>
void
serialize(Archive& aArchive, EndedSession& aValue)
{
  aArchive(aValue.mEpoch, aValue.mAt);
}

template<class Archive>
void
serialize(Archive& aArchive, Ledger& aValue)
{
  aArchive(aValue.mNow,
           aValue.mVirtual,
           aValue.mThroughputSince,
           aValue.mResultRetention,
           aValue.mClaimRetention,
           aValue.mWorkspaces,
           aValue.mNodes,
           aValue.mEnded,
           aValue.mOpenClaims,
           aValue.mReleased,
           aValue.mEndedJobMarks,
           aValue.mFileMarks,
           aValue.mClaimMarks);
}

namespace {

struct StoredLedger
{
  uint32_t mFormat = kFormat;
  Ledger mLedger;
};

template<class Archive>
void
serialize(Archive& aArchive, StoredLedger& aValue)
{
  aArchive(aValue.mFormat);
  if constexpr (Archive::is_loading::value) {
    aArchive.mFormat = aValue.mFormat;
  }
  aArchive(aValue.mLedger);
}

} // namespace

std::string
EncodeLedger(const Ledger& aLedger)
{
  std::string out;
  MemoryOutputArchive archive(out);
  archive(kFormat, aLedger);
  return out;
}

absl::StatusOr<Ledger>
DecodeLedger(std::string_view aBytes)
{
  auto decoded = DecodeWith<StoredLedger>(aBytes);
  if (!decoded.ok()) {
    return decoded.status();
  }
  const bool known =
    decoded->mFormat >= kFormatBeforeHeldItems && decoded->mFormat <= kFormat;
  if (!known || !ValidLedger(decoded->mLedger)) {
    return MakeError(
      ErrorKind::eCorruptData,
      "the encoded ledger is inconsistent or has an unknown format version",
      "restore the snapshot from another replica");
  }
  RebuildDerived(decoded->mLedger);
  return std::move(decoded->mLedger);
}

} // namespace caraway
