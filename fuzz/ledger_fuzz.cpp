// Stateful fuzzing of the ledger against an oracle with one object per item.
//
// Nodes lease items, report results, resend old requests and results, return
// items and lose their sessions; callers create and cancel jobs; deadlines
// pass; the ledger is encoded and decoded between operations. Checked
// properties: every item completes exactly once, no item is lost, stale results
// are refused, and the final status of a job doesn't change.
//
// Usage: ledger_fuzz SEED STEPS

#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include <rapidcheck.h>

#include "caraway/ledger/ledger.h"
#include "caraway/ledger/ledger_state.h"

using namespace caraway;

namespace {

struct Op
{
  uint32_t mKind = 0;
  uint32_t mChoice = 0;
  uint32_t mAmount = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Op& aOp)
{
  return aOut << aOp.mKind << '/' << aOp.mChoice << '/' << aOp.mAmount;
}

struct OracleItem
{
  bool mDone = false;
  uint8_t mAttempts = 0;
  uint64_t mToken = 0; // fencing token of the lease that holds it, 0 if free
  std::string mLine;   // of the first accepted result; empty if the ledger
                       // wrote the line itself
};

struct OracleJob
{
  WorkspaceId mWorkspace;
  JobStatus mStatus = JobStatus::eInProgress;
  std::vector<OracleItem> mItems;
  MonoTime mDeadline;
  size_t mFailed = 0;
};

struct Node
{
  InstanceId mName;
  uint64_t mEpoch = 0;
  uint64_t mSequence = 0;
  std::vector<ItemBatch>
    mBatches; // all batches it ever leased, for late results
};

struct World
{
  Ledger mLedger;
  uint64_t mIndex = 0;
  MonoTime mNow;
  std::map<std::string, std::string> mBlobs;
  std::map<JobId, OracleJob> mJobs;
  std::vector<Node> mNodes;
};

const ModelId kModel("model");
constexpr uint32_t kLines = 40;

WorkspaceId
WorkspaceFor(uint32_t aChoice)
{
  return WorkspaceId(aChoice % 2 == 0 ? "north" : "south");
}

void
WriteBlobs(World& aWorld, const std::vector<LedgerEffect>& aEffects)
{
  for (const LedgerEffect& effect : aEffects) {
    if (const auto* write = std::get_if<BlobWriteEffect>(&effect)) {
      std::string& blob = aWorld.mBlobs[write->mName];
      blob.resize(std::max(blob.size(), write->mOffset + write->mBytes.size()));
      blob.replace(write->mOffset, write->mBytes.size(), write->mBytes);
    } else if (const auto* gone = std::get_if<BlobRemoveEffect>(&effect)) {
      aWorld.mBlobs.erase(gone->mName);
    }
  }
}

CallReplyBody
Call(World& aWorld, const WorkspaceId& aWorkspace, CallBody aBody)
{
  ControlCall call;
  call.mWorkspace = aWorkspace;
  call.mBody = std::move(aBody);
  std::vector<LedgerEffect> effects;
  auto reply = ApplyCall(
    aWorld.mLedger, LogIndex(++aWorld.mIndex), aWorld.mNow, 1, call, effects);
  WriteBlobs(aWorld, effects);
  return reply;
}

void
Close(OracleJob& aJob, JobStatus aStatus)
{
  aJob.mStatus = aStatus;
  for (OracleItem& item : aJob.mItems) {
    item.mToken = 0;
  }
}

void
CloseIfComplete(OracleJob& aJob)
{
  for (const OracleItem& item : aJob.mItems) {
    if (!item.mDone) {
      return;
    }
  }
  Close(aJob, JobStatus::eCompleted);
}

void
CountAttempt(OracleJob& aJob, OracleItem& aItem)
{
  if (++aItem.mAttempts == kMaxAttempts) {
    aItem.mDone = true;
    ++aJob.mFailed;
  }
}

void
Create(World& aWorld, const Op& aOp)
{
  const WorkspaceId space = WorkspaceFor(aOp.mChoice);
  CreateJob create;
  create.mJob = JobId("batch_" + std::to_string(aWorld.mJobs.size()));
  create.mKey = IdempotencyKey("key" + std::to_string(aOp.mAmount % 7));
  create.mInput = FileId("file-" + std::to_string(aOp.mChoice % 3));
  create.mEndpoint = "/v1/chat/completions";
  create.mWindow = Seconds(100 + aOp.mAmount);
  create.mMetadata = std::to_string(aOp.mAmount % 7);
  create.mModel = kModel;
  create.mMaxItems = kLines;
  create.mWeight = 1 + aOp.mChoice % 5;
  auto reply = Call(aWorld, space, create);
  const auto* made = std::get_if<JobReply>(&reply);
  if (made == nullptr || made->mJob.mId != create.mJob) {
    return; // the idempotency key is already in use
  }
  OracleJob& job = aWorld.mJobs[create.mJob];
  job.mWorkspace = space;
  job.mItems.resize(made->mJob.mTotal);
  job.mDeadline = aWorld.mNow + create.mWindow;
}

LeaseItems
AskOf(const Node& aNode, uint32_t aWanted)
{
  LeaseItems ask;
  ask.mNode = aNode.mName;
  ask.mNodeEpoch = Epoch(aNode.mEpoch);
  ask.mSequence = aNode.mSequence;
  ask.mModels = { kModel };
  ask.mWanted = aWanted;
  return ask;
}

void
Ask(World& aWorld, Node& aNode, uint32_t aWanted)
{
  ++aNode.mSequence;
  const bool hasWork = HasItemsToLease(aWorld.mLedger, { kModel });
  const ItemBatch batch = ApplyLease(aWorld.mLedger,
                                     LogIndex(++aWorld.mIndex),
                                     aWorld.mNow,
                                     AskOf(aNode, aWanted));
  RC_ASSERT(batch.mItems.empty() || hasWork);
  if (batch.mItems.empty()) {
    return;
  }
  OracleJob& job = aWorld.mJobs.at(batch.mJob);
  RC_ASSERT(job.mStatus == JobStatus::eInProgress);
  for (const BatchItem& item : batch.mItems) {
    OracleItem& known = job.mItems.at(item.mIndex);
    RC_ASSERT(!known.mDone);
    RC_ASSERT(known.mToken == 0U); // an item has at most one lease
    known.mToken = batch.mToken.mValue;
  }
  aNode.mBatches.push_back(batch);
}

// Resends the last lease request, which must change nothing.
void
AskAgain(World& aWorld, Node& aNode)
{
  if (aNode.mSequence == 0) {
    return;
  }
  const ItemBatch batch = ApplyLease(
    aWorld.mLedger, LogIndex(++aWorld.mIndex), aWorld.mNow, AskOf(aNode, 64));
  for (const BatchItem& item : batch.mItems) {
    RC_ASSERT(aWorld.mJobs.at(batch.mJob).mItems.at(item.mIndex).mToken ==
              batch.mToken.mValue);
  }
}

void
ApplyToOracle(OracleJob& aJob, const ItemResult& aResult, uint64_t aToken)
{
  OracleItem& item = aJob.mItems.at(aResult.mIndex);
  if (item.mDone || item.mToken != aToken) {
    return;
  }
  item.mToken = 0;
  switch (aResult.mVerdict) {
    case ItemVerdict::eDone:
    case ItemVerdict::ePermanent:
      item.mDone = true;
      item.mLine = aResult.mBody + "\n";
      aJob.mFailed += aResult.mVerdict == ItemVerdict::ePermanent ? 1 : 0;
      break;
    case ItemVerdict::eRetryable:
      CountAttempt(aJob, item);
      break;
    case ItemVerdict::eReturned:
    case ItemVerdict::eHeld:
      break;
  }
}

// Reports results for a part of any batch that the node ever leased, so that
// results also arrive late, twice and under old tokens and sessions.
void
Answer(World& aWorld, Node& aNode, const Op& aOp)
{
  if (aNode.mBatches.empty()) {
    return;
  }
  // Two in three reports are for the newest batch.
  const size_t back = aOp.mChoice % 3 == 0 ? aOp.mChoice : 0;
  const ItemBatch& batch =
    aNode.mBatches[aNode.mBatches.size() - 1 - back % aNode.mBatches.size()];
  ItemResults results;
  results.mNode = aNode.mName;
  results.mNodeEpoch = batch.mNodeEpoch;
  results.mJob = batch.mJob;
  results.mToken = batch.mToken;
  OracleJob& job = aWorld.mJobs.at(batch.mJob);
  const uint64_t token = batch.mToken.mValue;
  bool held = false;
  for (const OracleItem& item : job.mItems) {
    held = held || (item.mToken == token && !item.mDone);
  }
  for (size_t at = 0; at < batch.mItems.size(); ++at) {
    if ((aOp.mAmount >> (at % 8) & 1) == 0) {
      const auto pick = (aOp.mAmount + at) % 10;
      const ItemVerdict verdict = pick < 6   ? ItemVerdict::eDone
                                  : pick < 7 ? ItemVerdict::ePermanent
                                  : pick < 9 ? ItemVerdict::eRetryable
                                             : ItemVerdict::eReturned;
      results.mResults.push_back(
        ItemResult{ batch.mItems[at].mIndex,
                    verdict,
                    200,
                    "{\"t\":" + std::to_string(++aWorld.mIndex) + "}" });
    }
  }
  std::vector<LedgerEffect> effects;
  const auto ack = ApplyResults(aWorld.mLedger,
                                LogIndex(++aWorld.mIndex),
                                aWorld.mNow,
                                1,
                                results,
                                effects);
  WriteBlobs(aWorld, effects);
  RC_ASSERT(ack.mStale == !held);
  for (const ItemResult& result : results.mResults) {
    ApplyToOracle(job, result, token);
  }
  if (job.mStatus == JobStatus::eInProgress) {
    CloseIfComplete(job);
  }
}

void
EndNodeSession(World& aWorld, Node& aNode)
{
  std::vector<LedgerEffect> effects;
  ApplySessionEnd(aWorld.mLedger,
                  LogIndex(++aWorld.mIndex),
                  aWorld.mNow,
                  aNode.mName,
                  Epoch(aNode.mEpoch),
                  effects);
  WriteBlobs(aWorld, effects);
  for (const ItemBatch& batch : aNode.mBatches) {
    OracleJob& job = aWorld.mJobs.at(batch.mJob);
    for (OracleItem& item : job.mItems) {
      if (item.mToken == batch.mToken.mValue && !item.mDone) {
        item.mToken = 0;
        CountAttempt(job, item);
      }
    }
    if (job.mStatus == JobStatus::eInProgress) {
      CloseIfComplete(job);
    }
  }
  aNode.mEpoch = ++aWorld.mIndex;
  aNode.mSequence = 0;
}

void
Cancel(World& aWorld, const Op& aOp)
{
  if (aWorld.mJobs.empty()) {
    return;
  }
  auto job = aWorld.mJobs.begin();
  std::advance(job, aOp.mChoice % aWorld.mJobs.size());
  Call(aWorld, job->second.mWorkspace, CancelJob{ job->first });
  if (job->second.mStatus == JobStatus::eInProgress) {
    Close(job->second, JobStatus::eCancelled);
  }
}

void
Tick(World& aWorld, const Op& aOp)
{
  aWorld.mNow = aWorld.mNow + Millis(aOp.mAmount * 20);
  std::vector<LedgerEffect> effects;
  ApplyLedgerTick(aWorld.mLedger,
                  LogIndex(++aWorld.mIndex),
                  aWorld.mNow,
                  1,
                  Seconds(30 * 86400),
                  Seconds(86400),
                  effects);
  WriteBlobs(aWorld, effects);
  for (auto& [id, job] : aWorld.mJobs) {
    if (job.mStatus == JobStatus::eInProgress && job.mDeadline <= aWorld.mNow) {
      Close(job, JobStatus::eExpired);
    }
  }
}

void
ReencodeLedger(World& aWorld)
{
  const std::string bytes = EncodeLedger(aWorld.mLedger);
  auto decoded = DecodeLedger(bytes);
  RC_ASSERT(decoded.ok());
  RC_ASSERT(EncodeLedger(*decoded) == bytes);
  aWorld.mLedger = std::move(*decoded);
}

std::string
ReadRange(const World& aWorld, const BlobRange& aRange)
{
  auto blob = aWorld.mBlobs.find(aRange.mName);
  return blob == aWorld.mBlobs.end() || aRange.mOffset > blob->second.size()
           ? std::string()
           : blob->second.substr(aRange.mOffset, aRange.mLength);
}

void
CheckJob(const World& aWorld, const JobId& aId, const OracleJob& aJob)
{
  ControlCall call;
  call.mWorkspace = aJob.mWorkspace;
  call.mBody = DescribeJob{ aId };
  const auto reply = ReadCall(aWorld.mLedger, aWorld.mNow, call);
  const JobInfo& info = std::get<JobReply>(reply).mJob;
  RC_ASSERT(info.mStatus == aJob.mStatus);
  size_t done = 0;
  for (const OracleItem& item : aJob.mItems) {
    done += item.mDone ? 1 : 0;
  }
  RC_ASSERT(info.mFailed == aJob.mFailed);
  RC_ASSERT(info.mCompleted + info.mFailed == done);
  call.mBody = ReadFile{ info.mOutput, 0 };
  const auto plan = PlanFileRead(aWorld.mLedger, call);
  RC_ASSERT(plan.ok());
  std::map<uint32_t, std::string> lines;
  for (size_t at = 0; at < plan->mItems.size(); ++at) {
    auto data =
      DataRange(plan->mRanges[at], ReadRange(aWorld, plan->mRanges[at]));
    if (data.ok()) {
      lines[plan->mItems[at]] = ReadRange(aWorld, *data);
    }
  }
  RC_ASSERT(lines.size() == done);
  for (const auto& [item, line] : lines) {
    RC_ASSERT(aJob.mItems[item].mDone);
    RC_ASSERT(line.ends_with('\n'));
    RC_ASSERT(aJob.mItems[item].mLine.empty() ||
              aJob.mItems[item].mLine == line);
  }
}

void
Apply(World& aWorld, const Op& aOp)
{
  Node& node = aWorld.mNodes[aOp.mChoice % aWorld.mNodes.size()];
  if (aOp.mKind < 10) {
    Create(aWorld, aOp);
  } else if (aOp.mKind < 45) {
    Ask(aWorld, node, 1 + aOp.mAmount % 20);
  } else if (aOp.mKind < 50) {
    AskAgain(aWorld, node);
  } else if (aOp.mKind < 85) {
    Answer(aWorld, node, aOp);
  } else if (aOp.mKind < 89) {
    EndNodeSession(aWorld, node);
  } else if (aOp.mKind < 92) {
    Cancel(aWorld, aOp);
  } else if (aOp.mKind < 96) {
    Tick(aWorld, aOp);
  } else {
    ReencodeLedger(aWorld);
  }
}

// Stops all faults; then a healthy node must finish all jobs in progress.
void
FinishAll(World& aWorld)
{
  for (Node& node : aWorld.mNodes) {
    EndNodeSession(aWorld, node);
  }
  Node& node = aWorld.mNodes[0];
  Op all;
  for (int round = 0;
       round < 100000 && HasItemsToLease(aWorld.mLedger, { kModel });
       ++round) {
    Ask(aWorld, node, 64);
    Answer(aWorld, node, all);
  }
  for (const auto& [id, job] : aWorld.mJobs) {
    RC_ASSERT(job.mStatus != JobStatus::eInProgress);
    CheckJob(aWorld, id, job);
  }
}

void
CheckLedger()
{
  World world;
  world.mIndex = 100;
  for (const char* name : { "node-1", "node-2", "node-3" }) {
    world.mNodes.push_back(Node{ InstanceId(name), ++world.mIndex });
  }
  for (uint32_t file = 0; file < 6; ++file) {
    PutFilePart part;
    part.mFile = FileId("file-" + std::to_string(file / 2));
    part.mLast = true;
    for (uint32_t line = 0; line < 1 + file * kLines / 6; ++line) {
      part.mBytes += "{}\n";
    }
    Call(world, WorkspaceFor(file), part);
  }
  const auto ops = *rc::gen::resize(
    200,
    rc::gen::container<std::vector<Op>>(rc::gen::build<Op>(
      rc::gen::set(&Op::mKind, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&Op::mChoice, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Op::mAmount, rc::gen::inRange(0U, 1000U)))));
  for (const Op& op : ops) {
    Apply(world, op);
  }
  for (const auto& [id, job] : world.mJobs) {
    CheckJob(world, id, job);
  }
  FinishAll(world);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string seed = aCount > 1 ? aArguments[1] : "1";
  const int steps = aCount > 2 ? std::atoi(aArguments[2]) : 20000;
  // One case has 100 steps on average.
  const std::string parameters =
    "seed=" + seed + " max_success=" + std::to_string(std::max(1, steps / 100));
  std::printf("ledger_fuzz seed %s steps %d\n", seed.c_str(), steps);
  if (setenv("RC_PARAMS", parameters.c_str(), 1) != 0) {
    return 2;
  }
  return rc::check("every item completes exactly once", CheckLedger) ? 0 : 1;
}
