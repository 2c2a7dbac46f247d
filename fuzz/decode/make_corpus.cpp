// Generates seed inputs for the libFuzzer targets with the real encoders.
//
// Usage: make_corpus FOLDER

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "caraway/consensus/log_codec.h"
#include "caraway/consensus/replica_codec.h"
#include "caraway/control/command.h"
#include "caraway/ledger/ledger.h"
#include "caraway/wire/messages.h"

using namespace caraway;

namespace {

std::filesystem::path gFolder;

void
Write(const std::string& aTarget,
      const std::string& aName,
      const std::string& aBytes)
{
  std::filesystem::create_directories(gFolder / aTarget);
  std::ofstream(gFolder / aTarget / aName, std::ios::binary) << aBytes;
}

template<size_t kIndex = 0>
void
WriteMessages()
{
  if constexpr (kIndex < std::variant_size_v<MessageVariant>) {
    Message message;
    message.emplace<kIndex>();
    Write("message",
          std::string(MessageName(message)) + "-" + std::to_string(kIndex),
          EncodeMessage(message));
    WriteMessages<kIndex + 1>();
  }
}

template<size_t kIndex = 0>
void
WriteCommands()
{
  if constexpr (kIndex < std::variant_size_v<CommandBody>) {
    ControlCommand command;
    command.mBody.emplace<kIndex>();
    Write("command", std::to_string(kIndex), EncodeCommand(command));
    WriteCommands<kIndex + 1>();
  }
}

ControlCommand
CallCommand(CallBody aBody)
{
  static uint64_t sCall = 0;
  ControlCall call;
  call.mCall = ++sCall;
  call.mEntry = InstanceId("entry-1");
  call.mEntryEpoch = Epoch(2); // index of the registration below
  call.mWorkspace = WorkspaceId("acme");
  call.mBody = std::move(aBody);
  return { MonoTime{ 3 }, 1, call };
}

// Builds a state with a contract, a member, a file, a job and a claim.
ControlState
SampleState()
{
  ControlState state;
  uint64_t index = 0;
  const auto apply = [&](const ControlCommand& aCommand) {
    ApplyCommand(state, LogIndex(++index), aCommand);
    Write(
      "command", "applied-" + std::to_string(index), EncodeCommand(aCommand));
  };
  Contract contract;
  contract.mWorkspace = WorkspaceId("acme");
  contract.mRate = 5;
  contract.mBurst = 10;
  contract.mModels = { ModelId("wordmill") };
  ConfigOperation operation;
  operation.mId = OperationId("op-1");
  operation.mChange = SetContract{ contract };
  apply({ MonoTime{ 1 }, 1, operation });
  RegisterMember member;
  member.mMember.mInstance = InstanceId("entry-1");
  apply({ MonoTime{ 2 }, 1, member });
  PutFilePart part;
  part.mFile = FileId("file-1");
  part.mBytes = "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n";
  part.mPurpose = "batch";
  part.mLast = true;
  apply(CallCommand(part));
  CreateJob job;
  job.mJob = JobId("batch-1");
  job.mInput = FileId("file-1");
  job.mModel = ModelId("wordmill");
  job.mEndpoint = "/v1/completions";
  job.mWindow = Seconds(3600);
  job.mMaxItems = 10;
  apply(CallCommand(job));
  Claim claim;
  claim.mKey = IdempotencyKey("order-1");
  claim.mRequest = RequestId("r1");
  apply(CallCommand(claim));
  return state;
}

void
WriteLog()
{
  ReplicaSet replicas;
  replicas.mReplicas.push_back({ ReplicaId(3), "127.0.0.1:1", true, 77 });
  Write("log", "replicas", EncodeReplicaSet(replicas));
  Write("log", "meta", EncodeMetaFile(77));
  Write("log",
        "snapshot",
        EncodeSnapshotFile({ LogIndex(9), Term(4), replicas }, "state"));
  std::string segment = EncodeSegmentHeader(7);
  for (uint64_t index = 1; index <= 3; ++index) {
    RaftWrite write;
    write.mHard = HardState{ Term(1), ReplicaId(2) };
    LogEntry entry;
    entry.mIndex = LogIndex(index);
    entry.mTerm = Term(1);
    entry.mPayload = "payload";
    write.mAppend.push_back(entry);
    segment += EncodeLogRecord(write, segment.size(), segment.size());
  }
  Write("log", "segment", segment);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  gFolder = aArguments[1];
  WriteMessages();
  WriteCommands();
  WriteLog();
  const ControlState state = SampleState();
  if (state.mLedger.mJobWorkspaces.empty() ||
      state.mLedger.mOpenClaims.empty()) {
    std::cerr << "the sample state lacks its job or its claim\n";
    return 1;
  }
  Write("state", "empty", EncodeControlState({}));
  Write("state", "sample", EncodeControlState(state));
  Write("ledger", "empty", EncodeLedger({}));
  Write("ledger", "sample", EncodeLedger(state.mLedger));
  return 0;
}
