// Batch jobs: creates, ends, describes and lists them.

#include <algorithm>

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

CallReplyBody
NoSuchJob(const JobId& aJob)
{
  return Fail(ErrorKind::eNotFound,
              absl::StrCat("job ", aJob.mValue, " does not exist"),
              "list the jobs of this workspace");
}

// Hash of the caller's parameters, to tell a resend from a conflicting call.
// Weight and item limit are left out: they come from the contract and may
// differ in a resend.
uint64_t
FingerprintOf(const CreateJob& aCreate)
{
  const std::string text = absl::StrCat(aCreate.mInput.mValue,
                                        "\n",
                                        aCreate.mEndpoint,
                                        "\n",
                                        aCreate.mWindow.mMicros,
                                        "\n",
                                        aCreate.mMetadata);
  return XXH3_64bits(text.data(), text.size());
}

// The job that has this call's idempotency key or id, or null.
const JobId*
FindExistingJob(const LedgerWorkspace& aSpace, const CreateJob& aCreate)
{
  if (auto byKey = aSpace.mJobKeys.find(aCreate.mKey);
      !aCreate.mKey.Empty() && byKey != aSpace.mJobKeys.end()) {
    return &byKey->second;
  }
  auto byId = aSpace.mJobs.find(aCreate.mJob);
  return byId == aSpace.mJobs.end() ? nullptr : &byId->first;
}

// Tokens of all items without a result in the jobs of one route.
uint64_t
WaitingTokens(const LedgerWorkspace& aSpace, const RouteId& aRoute)
{
  uint64_t tokens = 0;
  for (const auto& [id, work] : aSpace.mWork) {
    const Job& job = aSpace.mJobs.at(id);
    if (job.mRoute != aRoute) {
      continue;
    }
    for (uint32_t item = 0; item < job.mItems.size(); ++item) {
      tokens += IsDone(work, item) ? 0 : job.mItems[item].mTokens;
    }
  }
  return tokens;
}

// Checks the route's limit on waiting tokens. A job is accepted or rejected as
// a whole.
CallReplyBody
CheckWaitingTokens(const LedgerWorkspace& aSpace, const CreateJob& aCreate)
{
  uint64_t tokens = WaitingTokens(aSpace, aCreate.mRoute);
  for (const JobItem& item : aCreate.mItems) {
    tokens += item.mTokens;
  }
  if (aCreate.mMaxWaitingTokens == 0 || tokens <= aCreate.mMaxWaitingTokens) {
    return CallDone{};
  }
  return Fail(ErrorKind::eRateLimited,
              absl::StrCat("with this job ",
                           tokens,
                           " tokens would wait; the route allows ",
                           aCreate.mMaxWaitingTokens),
              "submit it again when items of earlier jobs have finished");
}

CallReplyBody
CheckInput(const LedgerWorkspace* aSpace, const CreateJob& aCreate)
{
  if (!IsValidObjectId(aCreate.mJob.mValue) || aCreate.mModel.Empty() ||
      aCreate.mWindow <= Duration{} || aCreate.mWindow > kMaxWindow) {
    return Fail(ErrorKind::eInvalidArgument,
                "the job's id, model or completion window is not valid",
                "set all three, with a window of at most 30 days");
  }
  if (aCreate.mMetadata.size() > kMaxMetadataBytes ||
      aCreate.mEndpoint.size() > kMaxNameBytes ||
      aCreate.mModel.mValue.size() > kMaxNameBytes ||
      aCreate.mKey.mValue.size() > kMaxNameBytes) {
    return Fail(ErrorKind::eTooLarge,
                "metadata over 16 KiB, or endpoint, model or key over 1 KiB",
                "shorten them");
  }
  auto file = aSpace == nullptr ? std::map<FileId, LedgerFile>::const_iterator()
                                : aSpace->mFiles.find(aCreate.mInput);
  if (aSpace == nullptr || file == aSpace->mFiles.end()) {
    return Fail(
      ErrorKind::eNotFound,
      absl::StrCat("input file ", aCreate.mInput.mValue, " does not exist"),
      "upload it with purpose batch first");
  }
  const LedgerFile& input = file->second;
  if (!input.mComplete || input.mLines == 0) {
    return Fail(ErrorKind::eInvalidArgument,
                absl::StrCat("input file ",
                             aCreate.mInput.mValue,
                             " is incomplete or empty"),
                "finish the upload with at least one line");
  }
  if (input.mLines > aCreate.mMaxItems) {
    return Fail(ErrorKind::eTooLarge,
                absl::StrCat("the input has ",
                             input.mLines,
                             " items; the contract allows ",
                             aCreate.mMaxItems),
                "split the input into several jobs");
  }
  if (!aCreate.mItems.empty() && input.mLines != aCreate.mItems.size()) {
    return Fail(ErrorKind::eInvalidArgument,
                "the number of input lines differs from the number of items",
                "give exactly one item for each line");
  }
  return CheckWaitingTokens(*aSpace, aCreate);
}

void
StartJob(Ledger& aLedger,
         const CommandTime& aTime,
         const WorkspaceId& aWorkspace,
         const CreateJob& aCreate)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  LedgerFile& input = space.mFiles[aCreate.mInput];
  ++input.mJobs;
  Job& job = space.mJobs[aCreate.mJob];
  job.mCreatedIndex = aTime.mIndex;
  job.mEndpoint = aCreate.mEndpoint;
  job.mInput = aCreate.mInput;
  job.mModel = aCreate.mModel;
  job.mKey = aCreate.mKey;
  job.mMetadata = aCreate.mMetadata;
  job.mWeight = std::clamp(aCreate.mWeight, 1U, 1000U);
  job.mTotal = static_cast<uint32_t>(input.mLines);
  job.mFingerprint = FingerprintOf(aCreate);
  job.mDeadline = aTime.mNow + aCreate.mWindow;
  job.mWindow = aCreate.mWindow;
  job.mCreatedAt = aTime.mUnixSeconds;
  job.mRoute = aCreate.mRoute;
  job.mItems = aCreate.mItems;
  job.mMaxAttempts = aCreate.mMaxAttempts;
  job.mGoal =
    aCreate.mGoal > Duration{} ? aTime.mNow + aCreate.mGoal : MonoTime{};
  JobWork& work = space.mWork[aCreate.mJob];
  work.mDone.resize((job.mTotal + 63) / 64);
  if (HasItemIds(job)) {
    // Leased by rank (ChooseItems) and not in line order, so all items start as
    // returned.
    work.mReturned = { ItemRange{ 0, job.mTotal } };
    work.mCursor = job.mTotal;
  }
  work.mItemLimit = std::max<uint64_t>(
    1, kMaxLineBytes / std::max<uint64_t>(1, input.mLongestLine));
  work.mSlackKey = SlackKey(space, job);
  if (!aCreate.mKey.Empty()) {
    space.mJobKeys[aCreate.mKey] = aCreate.mJob;
  }
  if (aLedger.mDeadlines.empty()) {
    aLedger.mThroughputSince = aTime.mNow;
  }
  aLedger.mJobWorkspaces[aCreate.mJob] = aWorkspace;
  aLedger.mDeadlines.emplace(job.mDeadline, aWorkspace, aCreate.mJob);
  RefreshReady(aLedger, aWorkspace, aCreate.mJob);
}

// Removes an ended job's leases from the node sessions. Returns the nodes that
// held one.
std::vector<InstanceId>
RevokeLeases(Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const JobId& aJob,
             const JobWork& aWork)
{
  std::vector<InstanceId> nodes;
  for (const auto& [token, lease] : aWork.mLeases) {
    nodes.push_back(lease.mNode);
    auto session = aLedger.mNodes.find({ lease.mNode, lease.mEpoch });
    if (session != aLedger.mNodes.end()) {
      session->second.mLeases.erase(LeaseRef{ aWorkspace, aJob, token });
    }
  }
  std::sort(nodes.begin(), nodes.end());
  nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
  return nodes;
}

} // namespace

CallReplyBody
ApplyCreateJob(Ledger& aLedger,
               const CommandTime& aTime,
               const WorkspaceId& aWorkspace,
               const CreateJob& aCreate)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space != nullptr) {
    if (const JobId* earlier = FindExistingJob(*space, aCreate)) {
      // For a job of a route, window and endpoint come from the plan, which may
      // change between a submission and its resend.
      const bool routed = HasItemIds(space->mJobs.at(*earlier));
      if (!routed &&
          space->mJobs.at(*earlier).mFingerprint != FingerprintOf(aCreate)) {
        return Fail(ErrorKind::eConflict,
                    absl::StrCat("job ",
                                 earlier->mValue,
                                 " was created with the same key or id but "
                                 "different content"),
                    "use a new idempotency key for a different job");
      }
      return JobReply{ JobInfoOf(*space, aTime.mNow, aWorkspace, *earlier) };
    }
  }
  if (aLedger.mJobWorkspaces.contains(aCreate.mJob)) {
    return Fail(ErrorKind::eConflict,
                "the job id is already in use",
                "create the job again under another id");
  }
  CallReplyBody check = CheckInput(space, aCreate);
  if (std::holds_alternative<CallFailed>(check)) {
    return check;
  }
  StartJob(aLedger, aTime, aWorkspace, aCreate);
  return JobReply{ JobInfoOf(*space, aTime.mNow, aWorkspace, aCreate.mJob) };
}

CallReplyBody
ApplyCancelJob(Ledger& aLedger,
               const CommandTime& aTime,
               const WorkspaceId& aWorkspace,
               const JobId& aJob,
               std::vector<LedgerEffect>& aEffects)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space == nullptr || !space->mJobs.contains(aJob)) {
    return NoSuchJob(aJob);
  }
  if (space->mWork.contains(aJob)) {
    EndJob(aLedger, aTime, aWorkspace, aJob, JobStatus::eCancelled, aEffects);
  }
  return JobReply{ JobInfoOf(*space, aTime.mNow, aWorkspace, aJob) };
}

void
EndJob(Ledger& aLedger,
       const CommandTime& aTime,
       const WorkspaceId& aWorkspace,
       const JobId& aJob,
       JobStatus aStatus,
       std::vector<LedgerEffect>& aEffects)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  Job& job = space.mJobs[aJob];
  RemoveReady(aLedger, aWorkspace, aJob);
  aLedger.mDeadlines.erase({ job.mDeadline, aWorkspace, aJob });
  job.mStatus = aStatus;
  job.mEndedAt = aTime.mUnixSeconds;
  if (auto input = space.mFiles.find(job.mInput); input != space.mFiles.end()) {
    --input->second.mJobs;
    input->second.mLastUsedAt = aTime.mNow;
  }
  aLedger.mEndedJobMarks.push_back(
    ExpiryMark{ aTime.mNow, aWorkspace, aJob.mValue });
#ifdef CARAWAY_PLANTED_FAULT_cancel_leases
  if (aStatus == JobStatus::eCancelled) {
    return;
  }
#endif
  auto work = space.mWork.find(aJob);
  aLedger.mJobWorkspaces.erase(aJob);
  auto nodes = RevokeLeases(aLedger, aWorkspace, aJob, work->second);
  space.mWork.erase(work);
  if (!nodes.empty()) {
    aEffects.push_back(JobRevokedEffect{ aJob, std::move(nodes) });
  }
}

void
ApplyPlanToJobs(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                const ServingPlan& aPlan,
                std::vector<LedgerEffect>& aEffects)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  const CommandTime time{ aIndex, aLedger.mNow, aUnixSeconds };
  const std::map<JobId, WorkspaceId> open = aLedger.mJobWorkspaces;
  for (const auto& [id, workspace] : open) {
    Job& job = aLedger.mWorkspaces[workspace].mJobs[id];
    if (job.mRoute.Empty()) {
      continue;
    }
    const PlanRoute* route = PlanRouteById(aPlan, job.mRoute);
    if (route == nullptr) {
      FailUnfinishedItems(
        aLedger, time, workspace, id, "its route was removed", aEffects);
    } else if (const ModelId model(ChooseService(*route, 0).mValue);
               model != job.mModel) {
      RemoveReady(aLedger, workspace, id);
      job.mModel = model;
      RefreshReady(aLedger, workspace, id);
    }
  }
}

JobInfo
JobInfoOf(const LedgerWorkspace& aSpace,
          MonoTime aNow,
          const WorkspaceId& aWorkspace,
          const JobId& aId)
{
  const Job& job = aSpace.mJobs.at(aId);
  JobInfo info;
  info.mId = aId;
  info.mWorkspace = aWorkspace;
  info.mEndpoint = job.mEndpoint;
  info.mInput = job.mInput;
  info.mOutput = OutputFileId(aId);
  info.mStatus = job.mStatus;
  info.mTotal = job.mTotal;
  info.mCompleted = job.mCompleted;
  info.mFailed = job.mFailed;
  info.mWindow = job.mWindow;
  info.mCreatedAt = job.mCreatedAt;
  info.mEndedAt = job.mEndedAt;
  info.mMetadata = job.mMetadata;
  if (job.mStatus == JobStatus::eInProgress) {
    info.mTimeLeft = std::max(Duration{}, job.mDeadline - aNow);
    info.mAtRisk = aSpace.mWork.at(aId).mAtRisk;
  }
  return info;
}

CallReplyBody
ReadJob(const Ledger& aLedger,
        MonoTime aNow,
        const WorkspaceId& aWorkspace,
        const JobId& aJob)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space == nullptr || !space->mJobs.contains(aJob)) {
    return NoSuchJob(aJob);
  }
  return JobReply{ JobInfoOf(*space, aNow, aWorkspace, aJob) };
}

CallReplyBody
ReadJobList(const Ledger& aLedger,
            MonoTime aNow,
            const WorkspaceId& aWorkspace,
            const ListJobs& aList)
{
  JobListReply reply;
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space == nullptr) {
    return reply;
  }
  const size_t limit = std::clamp(aList.mLimit, 1U, kMaxListed);
  size_t bytes = 0;
  for (auto job = space->mJobs.upper_bound(aList.mAfter);
       job != space->mJobs.end();
       ++job) {
    if (reply.mJobs.size() == limit || bytes > kMaxPageBytes) {
      reply.mMore = true;
      break;
    }
    reply.mJobs.push_back(JobInfoOf(*space, aNow, aWorkspace, job->first));
    bytes += 512 + job->second.mMetadata.size();
  }
  return reply;
}

} // namespace caraway
