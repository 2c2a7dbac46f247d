#pragma once
// Calls of an entry to the ledger's leader on behalf of a caller: files, batch
// jobs and idempotency claims. Each call is answered once; an entry sends a
// call again under the same id until it is answered or its deadline passes.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/serving_plan.h"
#include "caraway/config/target.h"

namespace caraway {

constexpr size_t kMaxPartBytes = 256 * 1024; // body bytes of one piece

struct FileInfo
{
  FileId mId;
  WorkspaceId mWorkspace;
  std::string mName;
  std::string mPurpose; // "batch" or "batch_output"
  uint64_t mBytes = 0;
  uint64_t mLines = 0;
  bool mComplete = false; // no more parts
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
  FileId mOutput; // readable while the job still runs
  JobStatus mStatus = JobStatus::eInProgress;
  uint64_t mTotal = 0;     // items
  uint64_t mCompleted = 0; // with a response
  uint64_t mFailed = 0;    // given up, with the reason in the output
  bool mAtRisk = false;    // the measured pace misses the deadline
  Duration mTimeLeft;
  Duration mWindow;
  int64_t mCreatedAt = 0; // Unix seconds, for display only
  int64_t mEndedAt = 0;
  std::string mMetadata; // JSON object of the caller
};

// Creates the file when mOffset is 0 and the id is unknown.
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
  // Output files of jobs whose items have ids: mOffset counts results in the
  // order of completion.
  bool mByCompletion = false;
};

struct DescribeFile
{
  FileId mFile;
};

struct ListFiles
{
  FileId mAfter;
  uint32_t mLimit = 100;
};

struct DeleteFile
{
  FileId mFile;
};

// An item of a job that is addressed by an id of its own.
struct JobItem
{
  std::string mId;
  uint32_t mTokens = 0; // prompt and most output; counts while it waits
};

struct CreateJob
{
  JobId mJob; // proposed by the entry
  IdempotencyKey mKey;
  FileId mInput;
  std::string mEndpoint;
  Duration mWindow;
  ModelId mModel;         // model of the items; read from the first line
  uint64_t mMaxItems = 0; // from the contract
  uint32_t mWeight = 1;
  std::string mMetadata;
  // Jobs of a plan's route. The items are in the order of the input's lines.
  RouteId mRoute;
  std::vector<JobItem> mItems;
  Duration mGoal; // results are due this long after the submission, 0: none
  uint64_t mMaxWaitingTokens = 0; // of the workspace on the route, 0: no limit
  uint8_t mMaxAttempts = 0;       // failures at targets, 0: the default
};

struct DescribeJob
{
  JobId mJob;
};

struct ListJobs
{
  JobId mAfter;
  uint32_t mLimit = 100;
};

struct CancelJob
{
  JobId mJob;
};

// Claims an idempotency key before a non-idempotent call goes out.
struct Claim
{
  IdempotencyKey mKey;
  uint64_t mFingerprint = 0; // hash of method, path and body
  RequestId mRequest;
};

// Stores the answer; resends of the caller receive it.
struct CompleteClaim
{
  IdempotencyKey mKey;
  RequestId mRequest;
  uint16_t mStatus = 0;
  std::string mContentType;
  std::string mBody; // at most 256 KiB
};

// The call was proven not to have run; the key is free again.
struct ReleaseClaim
{
  IdempotencyKey mKey;
  RequestId mRequest;
};

// The input line of an item that is addressed by its id.
struct ReadItem
{
  JobId mJob;
  std::string mItem;
};

// Replaces the serving plan unless a version as high is held.
struct ReplacePlan
{
  ServingPlan mPlan;
};

// The newest plan, as far as this leader is sure of it.
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
  int64_t mStartedAt = 0; // the start that ended
};

// What heartbeats said that the configuration does not hold yet.
struct ReportTargets
{
  std::vector<Target> mSeen;
  std::vector<EndedTarget> mDeregistered; // by their own word
};

// Empties a control replica, so that its instance can be taken away.
struct RetireReplica
{
  InstanceId mInstance;
};

struct DescribeRetirement
{
  InstanceId mInstance;
};

using CallBody = std::variant<PutFilePart,
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
                              DescribeRetirement>;

struct ControlCall
{
  GroupId mGroup;
  uint64_t mCall = 0; // unique within the entry epoch
  InstanceId mEntry;
  Epoch mEntryEpoch;
  WorkspaceId mWorkspace; // objects of other workspaces do not exist
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
  std::string mBytes;       // at most 256 KiB, whole lines for output files
  uint64_t mNextOffset = 0; // where to go on
  bool mEnd = false;        // nothing further at present
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
  eGranted,    // go ahead; durable
  eInProgress, // the first request still runs
  eCompleted,  // the stored answer follows
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

using CallReplyBody = std::variant<CallFailed,
                                   CallDone,
                                   FileReply,
                                   FileListReply,
                                   FileBytesReply,
                                   JobReply,
                                   JobListReply,
                                   ClaimReply,
                                   PlanReply,
                                   RetirementReply>;

struct ControlCallReply
{
  GroupId mGroup;
  uint64_t mCall = 0; // echo
  Epoch mEntryEpoch;  // echo
  CallReplyBody mBody;
};

} // namespace caraway
