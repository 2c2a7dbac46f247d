// Entry points for calls: dispatch, and helpers shared by the ledger's files.

#include "caraway/ledger/internal.h"

#include <algorithm>

#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

template<class... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

CallReplyBody
Fail(ErrorKind aKind, const std::string& aWhat, std::string_view aRemedy)
{
  const absl::Status status = MakeError(aKind, aWhat, aRemedy);
  return CallFailed{ aKind, std::string(StdView(status.message())) };
}

const LedgerWorkspace*
FindWorkspace(const Ledger& aLedger, const WorkspaceId& aWorkspace)
{
  auto space = aLedger.mWorkspaces.find(aWorkspace);
  return space == aLedger.mWorkspaces.end() ? nullptr : &space->second;
}

void
AppendIndexRecord(std::string& aOut, uint64_t aOffset, uint64_t aLength)
{
  for (uint64_t value : { aOffset, aLength }) {
    for (int shift = 0; shift < 64; shift += 8) {
      aOut.push_back(static_cast<char>(value >> shift));
    }
  }
}

bool
IsValidObjectId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= 128 &&
         std::all_of(aId.begin(), aId.end(), [](char aByte) {
           return (aByte >= 'a' && aByte <= 'z') ||
                  (aByte >= 'A' && aByte <= 'Z') ||
                  (aByte >= '0' && aByte <= '9') || aByte == '-' ||
                  aByte == '_';
         });
}

bool
IsReadOnly(const CallBody& aBody)
{
  return std::holds_alternative<ReadFile>(aBody) ||
         std::holds_alternative<DescribeFile>(aBody) ||
         std::holds_alternative<ListFiles>(aBody) ||
         std::holds_alternative<DescribeJob>(aBody) ||
         std::holds_alternative<ListJobs>(aBody) ||
         std::holds_alternative<ReadItem>(aBody) ||
         std::holds_alternative<ReadPlan>(aBody) ||
         std::holds_alternative<DescribeRetirement>(aBody) ||
         std::holds_alternative<DescribeRollout>(aBody);
}

CallReplyBody
ApplyCall(Ledger& aLedger,
          LogIndex aIndex,
          MonoTime aLogicalNow,
          int64_t aUnixSeconds,
          const ControlCall& aCall,
          std::vector<LedgerEffect>& aEffects)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  const CommandTime time{ aIndex, aLedger.mNow, aUnixSeconds };
  const WorkspaceId& workspace = aCall.mWorkspace;
  if (workspace.Empty()) {
    return Fail(ErrorKind::eInvalidArgument,
                "the call names no workspace",
                "send the call with the key of a workspace");
  }
  return std::visit(
    Overloaded{
      [&](const PutFilePart& aPart) {
        return ApplyPutFilePart(aLedger, time, workspace, aPart, aEffects);
      },
      [&](const DeleteFile& aDelete) {
        return ApplyDeleteFile(aLedger, workspace, aDelete.mFile, aEffects);
      },
      [&](const CreateJob& aCreate) {
        return ApplyCreateJob(aLedger, time, workspace, aCreate);
      },
      [&](const CancelJob& aCancel) {
        return ApplyCancelJob(aLedger, time, workspace, aCancel.mJob, aEffects);
      },
      [&](const Claim& aClaim) { return ApplyClaim(aLedger, aCall, aClaim); },
      [&](const CompleteClaim& aComplete) {
        return ApplyCompleteClaim(aLedger, workspace, aComplete);
      },
      [&](const ReleaseClaim& aRelease) {
        return ApplyReleaseClaim(aLedger, workspace, aRelease);
      },
      [&](const auto&) { return ReadCall(aLedger, aLedger.mNow, aCall); },
    },
    aCall.mBody);
}

CallReplyBody
ReadCall(const Ledger& aLedger, MonoTime aLogicalNow, const ControlCall& aCall)
{
  const WorkspaceId& workspace = aCall.mWorkspace;
  if (auto* describe = std::get_if<DescribeFile>(&aCall.mBody)) {
    return ReadFileInfo(aLedger, workspace, describe->mFile);
  }
  if (auto* list = std::get_if<ListFiles>(&aCall.mBody)) {
    return ReadFileList(aLedger, workspace, *list);
  }
  if (auto* describe = std::get_if<DescribeJob>(&aCall.mBody)) {
    return ReadJob(aLedger, aLogicalNow, workspace, describe->mJob);
  }
  if (auto* list = std::get_if<ListJobs>(&aCall.mBody)) {
    return ReadJobList(aLedger, aLogicalNow, workspace, *list);
  }
  return Fail(ErrorKind::eInvalidArgument,
              "ReadCall does not serve this call",
              "use PlanFileRead for ReadFile and ApplyCall for changes");
}

} // namespace caraway
