#pragma once
// The durable state of files, batch jobs and idempotency claims. Items have no
// objects of their own: a job of 750,000 items takes one bit per item, plus the
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
// A line is sent to a node in one frame of 1 MiB; 16 KiB are left for the rest
// of the message.
constexpr uint64_t kMaxLineBytes = (uint64_t{ 1 } << 20) - 16384;
constexpr uint64_t kMaxFileParts = 16384; // 64 KiB each in a file of 1 GiB
// Of an output line. It goes through the log in one entry, of which 16 KiB are
// left for the rest, and to its reader in one reply.
constexpr uint64_t kMaxResultBytes = (uint64_t{ 768 } - 16) << 10;
constexpr uint32_t kMaxLeaseItems = 64;
constexpr uint8_t kMaxAttempts = 3;
// Per workspace: claims, and the bytes of their stored answers.
constexpr size_t kMaxClaims = 10000;
constexpr uint64_t kMaxClaimBytes = 64 * 1024 * 1024;
constexpr uint32_t kMaxListed = 200; // objects per page
constexpr size_t kMaxPageBytes = 512 * 1024;
constexpr size_t kMaxNameBytes = 1024; // names, endpoints, models, keys
constexpr size_t kMaxMetadataBytes = 16 * 1024;
constexpr Duration kMaxWindow = Seconds(30 * 86400);
constexpr Duration kThroughputInterval = Seconds(10);
// How long ended sessions are remembered. Commands of a session that ended
// earlier can no longer be in the log.
constexpr Duration kEndedSessionRetention = Seconds(3600);
constexpr size_t kMaxReleasedRequests = 4096; // request ids kept

// One appended part, kept to tell a resent part from a conflicting one.
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
  uint64_t mTailBytes = 0; // length so far of the line not yet ended
  bool mTailText = false;  // that line has more than white space
  bool mComplete = false;
  uint64_t mLongestLine = 0; // bytes
  uint32_t mJobs = 0;        // jobs in progress that read it
  int64_t mCreatedAt = 0;    // Unix seconds
  MonoTime mLastUsedAt;      // last part appended or last job ended
  std::vector<FilePart> mParts;
};

// The part of a job that is kept after it ends.
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
  uint64_t mFingerprint = 0; // hash of the caller's parameters
  MonoTime mDeadline;
  Duration mWindow;
  int64_t mCreatedAt = 0; // Unix seconds
  int64_t mEndedAt = 0;   // Unix seconds
  // Set only for jobs submitted to a route of the plan.
  RouteId mRoute;
  std::vector<JobItem> mItems;  // by line of the input
  std::vector<uint32_t> mOrder; // items in order of completion
  uint8_t mMaxAttempts = 0;     // failures at targets; 0: kMaxAttempts
  MonoTime mGoal;               // when results are due; 0: no goal
};

// True for jobs of a route. Their results can be read in order of completion,
// and only failures at a target count as attempts.
inline bool
HasItemIds(const Job& aJob)
{
  return !aJob.mItems.empty();
}

struct ItemLease
{
  InstanceId mNode;
  Epoch mEpoch;
  ItemRanges mItems; // leased, without a result yet; never empty
};

// The part of a job that is freed when it ends. Invariant: every item is in
// exactly one place: at or above mCursor, in mReturned, in one lease, or done.
struct JobWork
{
  uint32_t mCursor = 0;                  // first item never leased
  ItemRanges mReturned;                  // below mCursor, to be leased again
  std::vector<uint64_t> mDone;           // bitmap
  std::map<uint32_t, uint8_t> mAttempts; // only items that failed before
  std::map<uint32_t, ItemProgress> mProgress; // of returned items
  std::map<FencingToken, ItemLease> mLeases;
  bool mAtRisk = false;
  int64_t mSlackKey = 0;   // deadline minus remaining work, logical µs
  uint64_t mItemLimit = 0; // per lease; as many longest lines fit one frame
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

// Measured rate of finished items, for one model of one workspace.
struct Throughput
{
  int64_t mMicroItems = 0; // items per 1,000,000 s, smoothed; 0: unknown
  uint64_t mFinished = 0;  // items in the current interval
  bool mMeasured = false;  // an interval with results has ended
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
  // Derived: jobs with items to lease by slack key, least slack first.
  std::map<ModelId, std::set<std::pair<int64_t, JobId>>> mReady;
};

// Identifies one lease.
struct LeaseRef
{
  WorkspaceId mWorkspace;
  JobId mJob;
  FencingToken mToken;

  auto operator<=>(const LeaseRef&) const = default;
};

// Leases of one session of a node.
struct NodeLeaseSession
{
  uint64_t mSequence = 0; // of the newest lease request
  LeaseRef mLastLease;    // the lease it got; empty job: none
  std::set<LeaseRef> mLeases;
};

// A queued check whether an object has reached the end of its retention.
struct ExpiryMark
{
  MonoTime mSince;
  WorkspaceId mWorkspace;
  std::string mId; // id of the job or file, or the claim's key
};

struct EndedSession
{
  Epoch mEpoch; // this session and all earlier ones
  MonoTime mAt;
};

struct Ledger
{
  MonoTime mNow;         // logical time of the last command; never decreases
  uint64_t mVirtual = 0; // virtual time of fair queueing
  MonoTime mThroughputSince; // start of the current interval
  Duration mResultRetention = Seconds(30 * 86400);
  Duration mClaimRetention = Seconds(86400);
  std::map<WorkspaceId, LedgerWorkspace> mWorkspaces;
  std::map<std::pair<InstanceId, Epoch>, NodeLeaseSession> mNodes;
  std::map<InstanceId, EndedSession> mEnded;
  // Claims in state eClaimed, by the entry session that holds them.
  std::map<std::pair<InstanceId, Epoch>,
           std::set<std::pair<WorkspaceId, IdempotencyKey>>>
    mOpenClaims;
  std::deque<RequestId> mReleased; // late copies of their Claim are refused
  // Sorted by mSince, since logical time never decreases.
  std::deque<ExpiryMark> mEndedJobMarks;
  std::deque<ExpiryMark> mFileMarks;
  std::deque<ExpiryMark> mClaimMarks;
  // Derived, not encoded. mReady: workspaces with items to lease, by start tag.
  std::map<ModelId, std::set<std::pair<uint64_t, WorkspaceId>>> mReady;
  std::set<std::tuple<MonoTime, WorkspaceId, JobId>> mDeadlines;
  std::set<RequestId> mReleasedSet;
  std::map<JobId, WorkspaceId> mJobWorkspaces; // jobs in progress
};

} // namespace caraway
