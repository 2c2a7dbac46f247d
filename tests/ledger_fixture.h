#pragma once
// Shared by the ledger's tests: a replica of the ledger with its blobs, and
// helpers that apply commands to it.

#include <map>

#include "caraway/base/random.h"
#include "caraway/ledger/ledger.h"
#include "caraway/ledger/ledger_state.h"

namespace caraway {

const WorkspaceId kNorth("north");
const WorkspaceId kSouth("south");
const ModelId kModel("tekst-model");

// The ledger and its blobs as one replica stores them.
struct LedgerReplica
{
  Ledger mLedger;
  uint64_t mIndex = 0;
  MonoTime mNow;
  std::map<std::string, std::string> mBlobs;
  std::vector<LedgerEffect> mEffects; // of the last command
};

inline void
WriteBlobs(LedgerReplica& aReplica)
{
  for (const LedgerEffect& effect : aReplica.mEffects) {
    if (const auto* write = std::get_if<BlobWriteEffect>(&effect)) {
      std::string& blob = aReplica.mBlobs[write->mName];
      blob.resize(std::max(blob.size(), write->mOffset + write->mBytes.size()));
      blob.replace(write->mOffset, write->mBytes.size(), write->mBytes);
    } else if (const auto* gone = std::get_if<BlobRemoveEffect>(&effect)) {
      aReplica.mBlobs.erase(gone->mName);
    }
  }
}

inline CallReplyBody
Call(LedgerReplica& aReplica,
     CallBody aBody,
     const WorkspaceId& aWorkspace = kNorth,
     Epoch aEpoch = Epoch(1))
{
  ControlCall call;
  call.mWorkspace = aWorkspace;
  call.mEntry = InstanceId("entry-1");
  call.mEntryEpoch = aEpoch;
  call.mBody = std::move(aBody);
  aReplica.mEffects.clear();
  auto reply = ApplyCall(aReplica.mLedger,
                         LogIndex(++aReplica.mIndex),
                         aReplica.mNow,
                         1700000000,
                         call,
                         aReplica.mEffects);
  WriteBlobs(aReplica);
  return reply;
}

inline ErrorKind
KindOfReply(const CallReplyBody& aReply)
{
  const auto* failed = std::get_if<CallFailed>(&aReply);
  return failed == nullptr ? ErrorKind::eNone : failed->mKind;
}

inline PutFilePart
Part(uint64_t aOffset,
     std::string aBytes,
     bool aLast,
     std::string aId = "file-1")
{
  PutFilePart part;
  part.mFile = FileId(std::move(aId));
  part.mPurpose = "batch";
  part.mOffset = aOffset;
  part.mBytes = std::move(aBytes);
  part.mLast = aLast;
  return part;
}

inline CreateJob
NewJob(std::string aId, std::string aKey = "", Duration aWindow = Seconds(3600))
{
  CreateJob create;
  create.mJob = JobId(std::move(aId));
  create.mKey = IdempotencyKey(std::move(aKey));
  create.mInput = FileId("file-1");
  create.mEndpoint = "/v1/chat/completions";
  create.mWindow = aWindow;
  create.mModel = kModel;
  create.mMaxItems = 1000000;
  return create;
}

inline void
Upload(LedgerReplica& aReplica,
       int aLines,
       const WorkspaceId& aWorkspace = kNorth)
{
  std::string text;
  for (int line = 0; line < aLines; ++line) {
    text += "{\"n\":" + std::to_string(line) + "}\n";
  }
  BOOST_REQUIRE(KindOfReply(Call(aReplica, Part(0, text, true), aWorkspace)) ==
                ErrorKind::eNone);
}

inline ItemBatch
Lease(LedgerReplica& aReplica,
      const std::string& aNode,
      uint64_t aSequence,
      uint32_t aWanted = 64,
      uint64_t aEpoch = 10)
{
  LeaseItems request;
  request.mNode = InstanceId(aNode);
  request.mNodeEpoch = Epoch(aEpoch);
  request.mSequence = aSequence;
  request.mModels = { kModel };
  request.mWanted = aWanted;
  return ApplyLease(
    aReplica.mLedger, LogIndex(++aReplica.mIndex), aReplica.mNow, request);
}

inline ItemResultsAck
Answer(LedgerReplica& aReplica,
       const std::string& aNode,
       const ItemBatch& aBatch,
       ItemVerdict aVerdict = ItemVerdict::eDone,
       uint64_t aEpoch = 10)
{
  ItemResults results;
  results.mNode = InstanceId(aNode);
  results.mNodeEpoch = Epoch(aEpoch);
  results.mJob = aBatch.mJob;
  results.mToken = aBatch.mToken;
  for (const BatchItem& item : aBatch.mItems) {
    const std::string body = "{\"answer\":" + std::to_string(item.mIndex) +
                             ",\n\"by\":\"" + aNode + "\"}";
    results.mResults.push_back(ItemResult{ item.mIndex, aVerdict, 200, body });
  }
  aReplica.mEffects.clear();
  auto ack = ApplyResults(aReplica.mLedger,
                          LogIndex(++aReplica.mIndex),
                          aReplica.mNow,
                          1700000001,
                          results,
                          aReplica.mEffects);
  WriteBlobs(aReplica);
  return ack;
}

inline void
EndSession(LedgerReplica& aReplica,
           const std::string& aInstance,
           uint64_t aEpoch = 10)
{
  aReplica.mEffects.clear();
  ApplySessionEnd(aReplica.mLedger,
                  LogIndex(++aReplica.mIndex),
                  aReplica.mNow,
                  InstanceId(aInstance),
                  Epoch(aEpoch),
                  aReplica.mEffects);
  WriteBlobs(aReplica);
}

inline void
Tick(LedgerReplica& aReplica, MonoTime aNow)
{
  aReplica.mNow = aNow;
  aReplica.mEffects.clear();
  ApplyLedgerTick(aReplica.mLedger,
                  LogIndex(++aReplica.mIndex),
                  aNow,
                  1700000002,
                  Seconds(30 * 86400),
                  Seconds(86400),
                  aReplica.mEffects);
  WriteBlobs(aReplica);
}

inline JobInfo
Describe(const LedgerReplica& aReplica, const std::string& aJob)
{
  ControlCall call;
  call.mWorkspace = kNorth;
  call.mBody = DescribeJob{ JobId(aJob) };
  auto reply = ReadCall(aReplica.mLedger, aReplica.mNow, call);
  BOOST_REQUIRE(std::holds_alternative<JobReply>(reply));
  return std::get<JobReply>(reply).mJob;
}

inline std::string
ReadRange(const LedgerReplica& aReplica, const BlobRange& aRange)
{
  auto blob = aReplica.mBlobs.find(aRange.mName);
  if (blob == aReplica.mBlobs.end() || aRange.mOffset >= blob->second.size()) {
    return {};
  }
  return blob->second.substr(aRange.mOffset, aRange.mLength);
}

// The whole file as a caller reads it; "error KIND" on failure.
inline std::string
Content(const LedgerReplica& aReplica,
        const FileId& aFile,
        const WorkspaceId& aWorkspace = kNorth)
{
  std::string text;
  ControlCall call;
  call.mWorkspace = aWorkspace;
  ReadFile read{ aFile, 0 };
  while (true) {
    call.mBody = read;
    auto plan = PlanFileRead(aReplica.mLedger, call);
    if (!plan.ok()) {
      return "error " + std::string(ErrorKindName(KindOf(plan.status())));
    }
    for (const BlobRange& range : plan->mRanges) {
      if (plan->mDirect) {
        text += ReadRange(aReplica, range);
      } else if (auto data = DataRange(range, ReadRange(aReplica, range));
                 data.ok()) {
        text += ReadRange(aReplica, *data);
      }
    }
    if (plan->mEnd) {
      return text;
    }
    read.mOffset = plan->mNextOffset;
  }
}

} // namespace caraway
