#pragma once
// The durable state of files, batch jobs and idempotency claims. No item has an
// object of its own: a job of 750,000 items costs one bit per item plus the
// ranges that are leased or returned.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/ledger/ranges.h"
#include "caraway/wire/batch_messages.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

constexpr uint64_t kMaxFileBytes = uint64_t{ 1 } << 30;
constexpr uint64_t kMaxFileLines = 10000000;
// A line travels to a node inside one frame of 1 MiB, which needs some room for
// the message around it.
constexpr uint64_t kMaxLineBytes = (uint64_t{ 1 } << 20) - 16384;
constexpr uint64_t kMaxFileParts = 16384; // 64 KiB each in a file of 1 GiB
// An output line is read back in one reply of 256 KiB.
constexpr uint64_t kMaxResultBytes = 256 * 1024 - 1;
constexpr uint32_t kMaxLeaseItems = 64;
constexpr uint8_t kMaxAttempts = 3;
constexpr size_t kMaxClaims = 10000;                  // per workspace
constexpr uint64_t kMaxClaimBytes = 64 * 1024 * 1024; // stored answers, too
constexpr uint32_t kMaxListed = 200;                  // objects in one page
constexpr size_t kMaxPageBytes = 512 * 1024;
constexpr size_t kMaxNameBytes = 1024; // names, endpoints, models, keys
constexpr size_t kMaxMetadataBytes = 16 * 1024;
constexpr Duration kMaxWindow = Seconds(30 * 86400);
constexpr Duration kThroughputInterval = Seconds(10);
// Sessions that ended this long ago have no command left in the log.
constexpr Duration kEndedSessionRetention = Seconds(3600);
constexpr size_t kMaxReleasedRequests = 4096; // requests

// One appended part, so that a resend is told from a conflict.
struct FilePart
{
  uint64_t mEnd = 0;  // file size after it
  uint64_t mHash = 0; // XXH3 of its bytes
};

struct LedgerFile
{
  LogIndex mCreatedIndex; // log index of its creation, part of its blob names
  std::string mName;
  std::string mPurpose;
  uint64_t mBytes = 0;
  uint64_t mLines = 0;     // non-blank lines, each with an index record
  uint64_t mTailBytes = 0; // length so far of the line without its newline
  bool mTailText = false;  // the tail holds something other than white space
  bool mComplete = false;
  uint64_t mLongestLine = 0; // bytes
  uint32_t mJobs = 0;        // running jobs that read it
  int64_t mCreatedAt = 0;    // Unix seconds
  MonoTime mLastUsedAt;      // last part, or end of the last job
  std::vector<FilePart> mParts;
};

// What stays of a job after its end.
struct Job
{
  LogIndex mCreatedIndex; // log index of its creation, part of its blob names
  std::string mEndpoint;
  FileId mInput;
  ModelId mModel;
  IdempotencyKey mKey; // empty if none
  std::string mMetadata;
  JobStatus mStatus = JobStatus::eInProgress;
  bool mResultsRemoved = false; // the caller deleted the output file
  uint32_t mWeight = 1;
  uint32_t mTotal = 0;
  uint32_t mCompleted = 0;
  uint32_t mFailed = 0;
  uint64_t mDataBytes = 0;   // size of the results blob
  uint64_t mFingerprint = 0; // hash of what the caller asked for
  MonoTime mDeadline;
  Duration mWindow;
  int64_t mCreatedAt = 0; // Unix seconds
  int64_t mEndedAt = 0;   // Unix seconds
  // Jobs of a plan's route only.
  RouteId mRoute;
  std::vector<JobItem> mItems;  // by line of the input
  std::vector<uint32_t> mOrder; // items in the order of their results
  uint8_t mMaxAttempts = 0;     // failures at targets, 0: kMaxAttempts
  MonoTime mGoal;               // results are due then; 0: no goal
};

// Items with ids have results in the order of completion, and only failures at
// a target count as attempts.
inline bool
HasItemIds(const Job& aJob)
{
  return !aJob.mItems.empty();
}

struct ItemLease
{
  InstanceId mNode;
  Epoch mEpoch;
  ItemRanges mItems; // leased and not yet answered; never empty
};

// The part of a job that is freed when it ends. Every item is in exactly one
// place: at or above the cursor, in mReturned, in one lease, or done.
struct JobWork
{
  uint32_t mCursor = 0;                  // first item never leased
  ItemRanges mReturned;                  // below the cursor, to be leased again
  std::vector<uint64_t> mDone;           // bitmap
  std::map<uint32_t, uint8_t> mAttempts; // only items that failed before
  std::map<uint32_t, ItemProgress> mProgress; // of items handed back
  std::map<FencingToken, ItemLease> mLeases;
  bool mAtRisk = false;
  int64_t mSlackKey = 0;   // deadline less the remaining work, logical micros
  uint64_t mItemLimit = 0; // items of the longest line that fit in one frame
};

enum class ClaimState : uint8_t
{
  eClaimed,
  eCompleted,
  eUnknown,
};

struct ClaimRecord
{
  ClaimState mState = ClaimState::eClaimed;
  uint64_t mFingerprint = 0;
  RequestId mRequest;
  InstanceId mEntry;
  Epoch mEpoch;
  MonoTime mClaimedAt;
  uint16_t mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

// Items finished per time, for one model of one workspace.
struct Throughput
{
  int64_t mMicroItems = 0; // items per 1,000,000 s, smoothed; 0 if unknown
  uint64_t mFinished = 0;  // in the present interval
  bool mMeasured = false;
};

struct LedgerWorkspace
{
  uint64_t mStartTag = 0; // start tag of fair queueing over workspaces
  std::map<FileId, LedgerFile> mFiles;
  std::map<JobId, Job> mJobs;
  std::map<JobId, JobWork> mWork; // jobs in progress
  std::map<IdempotencyKey, JobId> mJobKeys;
  std::map<IdempotencyKey, ClaimRecord> mClaims;
  uint64_t mClaimBytes = 0;
  std::map<ModelId, Throughput> mThroughput;
  // Derived: jobs with items to lease, least slack first.
  std::map<ModelId, std::set<std::pair<int64_t, JobId>>> mReady;
};

struct LeaseRef
{
  WorkspaceId mWorkspace;
  JobId mJob;
  FencingToken mToken;

  auto operator<=>(const LeaseRef&) const = default;
};

struct NodeLeaseSession
{
  uint64_t mSequence = 0; // newest ask
  LeaseRef mLastLease;    // what it got; job empty if nothing
  std::set<LeaseRef> mLeases;
};

struct ExpiryMark
{
  MonoTime mSince;
  WorkspaceId mWorkspace;
  std::string mId; // job, file or key
};

struct EndedSession
{
  Epoch mEpoch; // this one and all before
  MonoTime mAt;
};

struct Ledger
{
  MonoTime mNow;         // logical time of the last command; never decreases
  uint64_t mVirtual = 0; // virtual time of fair queueing
  MonoTime mThroughputSince; // start of the present pace interval
  Duration mResultRetention = Seconds(30 * 86400);
  Duration mClaimRetention = Seconds(86400);
  std::map<WorkspaceId, LedgerWorkspace> mWorkspaces;
  std::map<std::pair<InstanceId, Epoch>, NodeLeaseSession> mNodes;
  std::map<InstanceId, EndedSession> mEnded;
  // Claims of entries that may still complete them.
  std::map<std::pair<InstanceId, Epoch>,
           std::set<std::pair<WorkspaceId, IdempotencyKey>>>
    mOpenClaims;
  std::deque<RequestId> mReleased; // a late copy of their Claim is refused
  // In order of time, since logical time never decreases.
  std::deque<ExpiryMark> mEndedJobMarks;
  std::deque<ExpiryMark> mFileMarks;
  std::deque<ExpiryMark> mClaimMarks;
  // Derived.
  std::map<ModelId, std::set<std::pair<uint64_t, WorkspaceId>>> mReady;
  std::set<std::tuple<MonoTime, WorkspaceId, JobId>> mDeadlines;
  std::set<RequestId> mReleasedSet;
  std::map<JobId, WorkspaceId> mJobWorkspaces; // jobs in progress
};

} // namespace caraway
