// Measures heap bytes per object and encoded bytes per message.

#include <malloc.h>

#include "bench/capacity_probe.h"
#include "caraway/config/config_view.h"
#include "caraway/ledger/ledger.h"
#include "caraway/membership/sessions.h"
#include "caraway/routing/target_state.h"
#include "caraway/wire/messages.h"

namespace caraway::probe {

namespace {

double
UsedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Prints the heap bytes per change, averaged over aCount changes. aCount should
// be close to the design size, since hash tables grow in powers of two.
template<class Make>
void
ViewSlope(const std::string& aName, size_t aCount, Make aMake)
{
  ConfigView view;
  const double before = UsedBytes();
  for (size_t at = 0; at < aCount; ++at) {
    ApplyChange(view, { Revision(at + 1), aMake(at) });
  }
  Print("memory." + aName,
        (UsedBytes() - before) / static_cast<double>(aCount),
        "bytes");
}

struct LedgerProbe
{
  Ledger mLedger;
  uint64_t mIndex = 0;
  std::vector<LedgerEffect> mEffects;
};

void
Call(LedgerProbe& aProbe, CallBody aBody)
{
  ControlCall call;
  call.mWorkspace = WorkspaceId("workspace-1");
  call.mBody = std::move(aBody);
  aProbe.mEffects.clear();
  ApplyCall(
    aProbe.mLedger, LogIndex(++aProbe.mIndex), {}, 1, call, aProbe.mEffects);
}

void
Upload(LedgerProbe& aProbe, size_t aLines)
{
  PutFilePart part;
  part.mFile = FileId("file-0123456789abcdef0123456789abcdef");
  for (size_t line = 0; line < aLines;) {
    part.mOffset += part.mBytes.size();
    part.mBytes.clear();
    for (size_t count = 0; count < 50000 && line < aLines; ++count, ++line) {
      part.mBytes += "{}\n";
    }
    part.mLast = line == aLines;
    Call(aProbe, part);
  }
}

JobId
JobName(size_t aNumber)
{
  char id[48];
  std::snprintf(id, sizeof(id), "batch_%032zx", aNumber);
  return JobId(id);
}

void
Create(LedgerProbe& aProbe, size_t aNumber)
{
  CreateJob create;
  create.mJob = JobName(aNumber);
  create.mInput = FileId("file-0123456789abcdef0123456789abcdef");
  create.mEndpoint = "/v1/chat/completions";
  create.mWindow = Seconds(86400);
  create.mModel = ModelId("tekst-model");
  create.mMaxItems = 1000000;
  Call(aProbe, create);
}

double
JobsBytes(size_t aJobs, bool aEnd)
{
  LedgerProbe probe;
  Upload(probe, 696); // items per job: 32 million items in 46,000 jobs
  probe.mEffects = {};
  const double before = UsedBytes();
  for (size_t job = 0; job < aJobs; ++job) {
    Create(probe, job);
    if (aEnd) {
      Call(probe, CancelJob{ JobName(job) });
    }
  }
  probe.mEffects = {};
  return (UsedBytes() - before) / static_cast<double>(aJobs);
}

void
LedgerSlopes()
{
  Print("memory.job_running_696_items", JobsBytes(10000, false), "bytes");
  Print("memory.job_ended", JobsBytes(10000, true), "bytes");
  LedgerProbe probe;
  Upload(probe, 750000);
  probe.mEffects = {};
  const double before = UsedBytes();
  Create(probe, 1);
  probe.mEffects = {};
  Print("memory.batch_item", (UsedBytes() - before) / 750000, "bytes");
}

void
Size(const std::string& aName, const Message& aMessage)
{
  Print("message." + aName,
        static_cast<double>(EncodeMessage(aMessage).size()),
        "bytes");
}

WorkspaceId
Workspace(size_t aNumber)
{
  return SampleContract(10000 + aNumber).mWorkspace;
}

void
GrantSizes(size_t aSpaces)
{
  GrantRequest request;
  request.mInstance = InstanceId("entry-100");
  GrantReply reply;
  for (size_t at = 0; at < aSpaces; ++at) {
    request.mDemands.push_back({ Workspace(at) });
    reply.mGrants.push_back({ Workspace(at) });
  }
  const std::string suffix = "_" + std::to_string(aSpaces);
  Size("GrantRequest" + suffix, request);
  Size("GrantReply" + suffix, reply);
}

void
ChangeSize(const std::string& aName, ConfigChange aChange)
{
  ConfigDelta delta;
  delta.mChanges = { { Revision(1), std::move(aChange) } };
  Size("ConfigDelta_" + aName, delta);
}

} // namespace

void
MeasureMemory()
{
  ViewSlope("contract", 39000, [](size_t aAt) {
    return SetContract{ SampleContract(aAt) };
  });
  ViewSlope(
    "key", 39000, [](size_t aAt) { return CreateKey{ SampleKey(aAt) }; });
  ViewSlope(
    "member", 1090, [](size_t aAt) { return SetMember{ SampleMember(aAt) }; });
  // The in-service flag of a target, stored in addition to the member that
  // offers the target.
  ViewSlope("target_switch", 700, [](size_t aAt) {
    return SetTargetService{ SampleMember(aAt).mTarget.mId, false };
  });
  LedgerSlopes();
}

void
MeasureMessages()
{
  const Member member = SampleMember(500);
  Renew renew;
  renew.mInstance = InstanceId("entry-100");
  Size("Renew_entry", renew);
  renew.mInstance = member.mInstance;
  renew.mTarget = member.mTarget;
  Size("Renew_node", renew);
  RenewReply reply;
  reply.mInstance = member.mInstance;
  Size("RenewReply", reply);
  Size("ConfigFetch", ConfigFetch{});
  Size("ConfigDelta_empty", ConfigDelta{});
  ChangeSize("contract", SetContract{ SampleContract(10000) });
  ChangeSize("key", CreateKey{ SampleKey(10000) });
  ChangeSize("member", SetMember{ member });
  for (const size_t spaces : { 0, 1, 10, 100 }) {
    GrantSizes(spaces);
  }
  LoadReport report;
  report.mNode = member.mInstance;
  Size("LoadReport", report);
  Dispatch dispatch;
  dispatch.mRequest = RequestId("req_0123456789abcdef01234567");
  dispatch.mEntry = InstanceId("entry-100");
  dispatch.mWorkspace = Workspace(1);
  dispatch.mKey = SampleKey(1).mId;
  dispatch.mModel = ModelId("tekst-model");
  dispatch.mMethod = "POST";
  dispatch.mPath = "/v1/chat/completions";
  Size("Dispatch_without_body_and_headers", dispatch);
  AnswerPart part;
  part.mRequest = dispatch.mRequest;
  Size("AnswerPart_without_bytes", part);
  SlotRequest ask;
  ask.mRequest = dispatch.mRequest;
  ask.mWorkspace = dispatch.mWorkspace;
  Size("SlotRequest", ask);
  SlotReply place;
  place.mRequest = dispatch.mRequest;
  Size("SlotReply", place);
  SlotRelease release;
  release.mRequest = dispatch.mRequest;
  Size("SlotRelease", release);
  SlotsHeld held;
  Size("SlotsHeld_empty", held);
  held.mRequests.push_back(dispatch.mRequest);
  Size("SlotsHeld_1", held);
  TargetsHeard heard;
  Size("TargetsHeard_empty", heard);
  heard.mTargets.emplace_back("i-0123456789");
  Size("TargetsHeard_1", heard);
  ReplicaHello hello;
  hello.mInstance = member.mInstance;
  Size("ReplicaHello", hello);
  RaftMessage heartbeat;
  heartbeat.mBody = AppendRequest{};
  Size("Raft_heartbeat", heartbeat);
  heartbeat.mBody = AppendReply{};
  Size("Raft_heartbeat_reply", heartbeat);
}

} // namespace caraway::probe
