#pragma once
// Calls of an entry to the leader on behalf of a caller, an operator or a
// target: files, batch jobs, idempotency claims, the serving plan, zones,
// targets and control replicas. Each call is answered once; an entry
// retransmits a call with the same id until it is answered or its deadline
// passes.

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/api_key.h"
#include "caraway/config/rollout.h"
#include "caraway/config/serving_plan.h"
#include "caraway/config/target.h"

namespace caraway {

constexpr size_t kMaxPartBytes = 256 * 1024; // body bytes in one message

struct FileInfo
{
  FileId mId;
  WorkspaceId mWorkspace;
  std::string mName;
  std::string mPurpose; // "batch" or "batch_output"
  uint64_t mBytes = 0;
  uint64_t mLines = 0;
  bool mComplete = false; // all parts have arrived
  int64_t mCreatedAt = 0; // Unix seconds, for display only
};

enum class JobStatus : uint8_t
{
  eInProgress,
  eCompleted,
  eCancelled,
  eExpired, // the deadline passed; finished items stay readable
};

struct JobInfo
{
  JobId mId;
  WorkspaceId mWorkspace;
  std::string mEndpoint;
  FileId mInput;
  FileId mOutput; // can be read while the job is running
  JobStatus mStatus = JobStatus::eInProgress;
  uint64_t mTotal = 0;     // items
  uint64_t mCompleted = 0; // with a response
  uint64_t mFailed = 0;    // given up; the output has the reason
  bool mAtRisk = false;    // will miss the deadline at the measured pace
  Duration mTimeLeft;
  Duration mWindow;
  int64_t mCreatedAt = 0; // Unix seconds, for display only
  int64_t mEndedAt = 0;
  std::string mMetadata; // JSON object given by the caller
};

// The key that a caller sent: one of the product's own interface, or the digest
// of one of the plan. Control judges it by its own configuration, since the
// entry's copy may be older. None: an entry of an earlier version passes the
// call on.
using CallerKey = std::variant<std::monostate, KeyId, KeyDigest>;

// Appends a part to an input file. Creates the file if mOffset is 0 and the id
// is unknown.
struct PutFilePart
{
  FileId mFile;
  std::string mName;
  std::string mPurpose;
  uint64_t mOffset = 0;
  std::string mBytes; // at most 256 KiB
  bool mLast = false;
};

struct ReadFile
{
  FileId mFile;
  uint64_t mOffset = 0; // input files: bytes; output files: item index
  // For output files of jobs whose items have ids: mOffset is an index into the
  // results in order of completion.
  bool mByCompletion = false;
  CallerKey mKey;
};

struct DescribeFile
{
  FileId mFile;
  CallerKey mKey;
};

struct ListFiles
{
  FileId mAfter;
  uint32_t mLimit = 100;
  CallerKey mKey;
};

struct DeleteFile
{
  FileId mFile;
};

// An item of a job whose items have ids.
struct JobItem
{
  std::string mId;
  uint32_t mTokens = 0; // prompt and maximum output; counted while it waits
};

struct CreateJob
{
  JobId mJob; // proposed by the entry
  IdempotencyKey mKey;
  FileId mInput;
  std::string mEndpoint;
  Duration mWindow;
  ModelId mModel;         // of all items, taken from the first line
  uint64_t mMaxItems = 0; // from the contract
  uint32_t mWeight = 1;
  std::string mMetadata;
  // For jobs of a route of the plan. The items are in the order of the input
  // lines.
  RouteId mRoute;
  std::vector<JobItem> mItems;
  Duration mGoal; // results are due this long after the submission, 0: none
  // Bound on the workspace's waiting tokens on the route, 0: no limit.
  uint64_t mMaxWaitingTokens = 0;
  uint8_t mMaxAttempts = 0; // failed attempts of an item, 0: the default
};

struct DescribeJob
{
  JobId mJob;
  CallerKey mKey;
};

struct ListJobs
{
  JobId mAfter;
  uint32_t mLimit = 100;
  CallerKey mKey;
};

struct CancelJob
{
  JobId mJob;
};

// Claims an idempotency key before a non-idempotent call is sent to a target.
struct Claim
{
  IdempotencyKey mKey;
  uint64_t mFingerprint = 0; // hash of method, path and body
  RequestId mRequest;
};

// Stores the response, which later requests with the same key receive.
struct CompleteClaim
{
  IdempotencyKey mKey;
  RequestId mRequest;
  uint16_t mStatus = 0;
  std::string mContentType;
  std::string mBody; // at most 256 KiB
};

// Frees the key: the call is known not to have run.
struct ReleaseClaim
{
  IdempotencyKey mKey;
  RequestId mRequest;
};

// Reads the input line of an item by the item's id.
struct ReadItem
{
  JobId mJob;
  std::string mItem;
  CallerKey mKey;
};

// Replaces the serving plan, unless the present one has the same or a higher
// version.
struct ReplacePlan
{
  ServingPlan mPlan;
};

// Reads the newest plan. Answered only by a leader in contact with a
// majority.
struct ReadPlan
{};

struct SetZone
{
  ZoneId mZone;
  bool mInService = true;
};

struct EndedTarget
{
  TargetId mTarget;
  int64_t mStartedAt = 0; // Unix milliseconds, identifies the start that ended
};

// Changes that targets announced to entries and that are not in the
// configuration yet.
struct ReportTargets
{
  std::vector<Target> mSeen;
  std::vector<EndedTarget> mDeregistered; // said so themselves
};

// Removes a control replica from the group, so that its instance can be
// stopped.
struct RetireReplica
{
  InstanceId mInstance;
};

struct DescribeRetirement
{
  InstanceId mInstance;
};

// SetZone as an operator asks for it at an entry. It changes nothing if the
// zone was changed after the revision that the entry had seen: the order may
// have waited in a frozen process while others overtook it.
struct OrderZone
{
  SetZone mSet;
  Revision mSeen;
};

// Begins to move the traffic of a service to targets of a software version.
struct BeginRollout
{
  ServiceId mService;
  std::string mTo;
  Duration mDuration; // time to complete in
};

struct DescribeRollout
{
  ServiceId mService;
};

// Takes an active roll-out back.
struct AbortRollout
{
  ServiceId mService;
};

// A job as its caller submitted it. Key, route and limits are judged where the
// command is applied, by the configuration at that place of the log: the
// entry's copy may be older, and a change may stand in the log before the job.
struct SubmitJob
{
  // Without what the configuration decides: the contract's figures and, with
  // mHost, all that belongs to the route.
  CreateJob mCreate;
  CallerKey mKey;
  // Of the request, for jobs of a route of the plan.
  std::string mHost;
  std::string mPath;
};

// CancelJob, if the key still belongs to the workspace where it is applied.
struct CancelJobByKey
{
  JobId mJob;
  CallerKey mKey;
};

using CallBodyVariant = std::variant<PutFilePart,
                                     ReadFile,
                                     DescribeFile,
                                     ListFiles,
                                     DeleteFile,
                                     CreateJob,
                                     DescribeJob,
                                     ListJobs,
                                     CancelJob,
                                     Claim,
                                     CompleteClaim,
                                     ReleaseClaim,
                                     ReadItem,
                                     ReplacePlan,
                                     ReadPlan,
                                     SetZone,
                                     ReportTargets,
                                     RetireReplica,
                                     DescribeRetirement,
                                     OrderZone,
                                     BeginRollout,
                                     DescribeRollout,
                                     AbortRollout,
                                     SubmitJob,
                                     CancelJobByKey>;

// Its special members are compiled in call_messages.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct CallBody : CallBodyVariant
{
  CallBody();
  template<class T>
  requires(!std::is_base_of_v<CallBodyVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    CallBody(T&& aOne)
    : CallBodyVariant(std::in_place_type<std::remove_cvref_t<T>>,
                      std::forward<T>(aOne))
  {
  }
  CallBody(const CallBody& aOther);
  CallBody(CallBody&& aOther) noexcept;
  CallBody& operator=(const CallBody& aOther);
  CallBody& operator=(CallBody&& aOther) noexcept;
  ~CallBody();
};

// The key of a call that is made with one; null for other calls.
CallerKey*
CallerKeyOf(CallBody& aBody);
const CallerKey*
CallerKeyOf(const CallBody& aBody);

struct ControlCall
{
  GroupId mGroup;
  uint64_t mCall = 0; // unique within the entry epoch
  InstanceId mEntry;
  Epoch mEntryEpoch;
  WorkspaceId mWorkspace; // objects of other workspaces are not found
  CallBody mBody;
};

struct CallFailed
{
  ErrorKind mKind = ErrorKind::eUnavailable;
  std::string mMessage;
};

struct CallDone
{};

struct FileReply
{
  FileInfo mFile;
};

struct FileListReply
{
  std::vector<FileInfo> mFiles;
  bool mMore = false;
};

struct FileBytesReply
{
  // At most 256 KiB. For output files whole lines, at least one if there is
  // one.
  std::string mBytes;
  uint64_t mNextOffset = 0; // offset of the next read
  bool mEnd = false;        // no more data at present
  uint64_t mTotal = 0;      // items of the job, for output files
};

struct JobReply
{
  JobInfo mJob;
};

struct JobListReply
{
  std::vector<JobInfo> mJobs;
  bool mMore = false;
};

enum class ClaimVerdict : uint8_t
{
  eGranted,    // the claim is durable, the call may be sent
  eInProgress, // the first request is still running
  eCompleted,  // the reply has the stored response
  eUnknown,    // the first request may have run
  eMismatch,   // same key, different request
};

struct ClaimReply
{
  ClaimVerdict mVerdict = ClaimVerdict::eGranted;
  uint16_t mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

struct PlanReply
{
  uint64_t mVersion = 0; // 0: no plan yet
  std::string mSource;
};

struct RetirementReply
{
  bool mDone = false;
};

struct RolloutReply
{
  Rollout mRollout;
};

using CallReplyBodyVariant = std::variant<CallFailed,
                                          CallDone,
                                          FileReply,
                                          FileListReply,
                                          FileBytesReply,
                                          JobReply,
                                          JobListReply,
                                          ClaimReply,
                                          PlanReply,
                                          RetirementReply,
                                          RolloutReply>;

// Its special members are compiled in call_messages.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct CallReplyBody : CallReplyBodyVariant
{
  CallReplyBody();
  template<class T>
  requires(!std::is_base_of_v<CallReplyBodyVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    CallReplyBody(T&& aOne)
    : CallReplyBodyVariant(std::in_place_type<std::remove_cvref_t<T>>,
                           std::forward<T>(aOne))
  {
  }
  CallReplyBody(const CallReplyBody& aOther);
  CallReplyBody(CallReplyBody&& aOther) noexcept;
  CallReplyBody& operator=(const CallReplyBody& aOther);
  CallReplyBody& operator=(CallReplyBody&& aOther) noexcept;
  ~CallReplyBody();
};

struct ControlCallReply
{
  GroupId mGroup;
  uint64_t mCall = 0; // echo
  Epoch mEntryEpoch;  // echo
  CallReplyBody mBody;
};

} // namespace caraway
