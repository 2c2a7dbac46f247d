// Executes the commands of a fuzz run.

#include "fuzz/fleet/commands.h"

#include <array>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "fuzz/fleet/batches.h"

namespace caraway::fleet {

namespace {

constexpr std::array<const char*, static_cast<size_t>(CommandKind::eCount)>
  kNames{ "online",
          "stream",
          "service",
          "service_key",
          "resend",
          "burst",
          "batch",
          "cancel_job",
          "read_results",
          "withdraw_key",
          "change_contract",
          "zone_out",
          "zone_in",
          "target_out",
          "target_in",
          "kill_control",
          "restart_control",
          "kill_leader",
          "isolate_leader",
          "kill_entry",
          "restart_entry",
          "kill_node",
          "restart_node",
          "kill_target",
          "restart_target_cold",
          "turn_cold",
          "silence_target",
          "isolate_entry",
          "isolate_node",
          "cut_one_way",
          "heal_links",
          "stop_entry",
          "stop_node",
          "lossy",
          "wait" };

struct Run
{
  Fleet& mFleet;
  std::vector<SubmittedJob> mJobs;
  std::string mLastMarker; // of a keyed service call
  std::string mLastIdempotencyKey;
};

std::string
ZoneName(uint32_t aIndex)
{
  return absl::StrCat("zone-",
                      std::string(1, static_cast<char>('a' + aIndex % 3)));
}

void
SetZone(Run& aRun, uint32_t aIndex, bool aIn)
{
  const std::string zone = ZoneName(aIndex);
  // Work may run in the zone again as soon as an operator asks to put it back.
  if (aIn) {
    aRun.mFleet.mOracle.mZoneOut.erase(ZoneId(zone));
  }
  const OperatorAnswer answer =
    Operate(aRun.mFleet,
            "POST",
            absl::StrCat("/admin/zones/", zone, aIn ? "/in" : "/out"),
            "");
  if (answer.mStatus == 200 && !aIn) {
    aRun.mFleet.mOracle.mZoneOut[ZoneId(zone)] = aRun.mFleet.mNow;
  }
}

void
SetTarget(Run& aRun, uint32_t aIndex, bool aIn)
{
  const std::string target =
    absl::StrCat("target-", 1 + aIndex % aRun.mFleet.mNodes.size());
  if (aIn) {
    aRun.mFleet.mOracle.mTargetOut.erase(TargetId(target));
  }
  const OperatorAnswer answer =
    Operate(aRun.mFleet,
            "POST",
            absl::StrCat("/admin/targets/", target, aIn ? "/in" : "/out"),
            "");
  if (answer.mStatus == 200 && !aIn) {
    aRun.mFleet.mOracle.mTargetOut[TargetId(target)] = aRun.mFleet.mNow;
  }
}

void
ReplaceKey(Run& aRun)
{
  Fleet& fleet = aRun.mFleet;
  const OperatorAnswer created =
    Operate(fleet, "POST", "/admin/keys", R"({"workspace":"acme"})");
  const auto body = nlohmann::json::parse(created.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("key")) {
    return;
  }
  const std::string old = fleet.mKeyId;
  fleet.mKeyId = body["id"].get<std::string>();
  fleet.mKeyText = body["key"].get<std::string>();
  fleet.mSecrets[fleet.mKeyId] = fleet.mKeyText;
  const OperatorAnswer withdrawn =
    Operate(fleet, "DELETE", absl::StrCat("/admin/keys/", old), "");
  if (withdrawn.mStatus == 200) {
    fleet.mOracle.mKeyWithdrawn[old] = fleet.mNow;
  }
}

void
ChangeContract(Run& aRun, uint32_t aIndex)
{
  // Rate and burst don't change, so that the oracle's bound holds for the whole
  // run.
  const OperatorAnswer answer =
    Operate(aRun.mFleet,
            "PUT",
            "/admin/contracts/acme",
            absl::StrCat(R"({"rate":)",
                         aRun.mFleet.mSettings.mRate,
                         R"(,"burst":)",
                         aRun.mFleet.mSettings.mBurst,
                         R"(,"weight":)",
                         1 + aIndex % 9,
                         R"(,"models":["model-a"],"routes":["stock"]})"));
  const auto body = nlohmann::json::parse(answer.mBody, nullptr, false);
  if (answer.mStatus == 200 && body.is_object() &&
      !aRun.mFleet.mOracle.mRevisions.insert(body.value("revision", 0ULL))
         .second) {
    ReportViolation(aRun.mFleet.mOracle, "I13: a revision was used twice");
  }
}

size_t
IndexOfLeader(const Fleet& aFleet)
{
  const PeerAddress leader = LeaderAddress(aFleet);
  for (size_t i = 0; i < aFleet.mControls.size(); ++i) {
    if (ControlAddress(aFleet, i) == leader) {
      return i;
    }
  }
  return 0;
}

size_t
RunningControls(const Fleet& aFleet)
{
  size_t running = 0;
  for (const auto& [address, process] : aFleet.mControls) {
    running += process.mRole ? 1 : 0;
  }
  return running;
}

void
RunCaller(Run& aRun, const Command& aCommand)
{
  Fleet& fleet = aRun.mFleet;
  switch (aCommand.mKind) {
    case CommandKind::eOnline:
      SendRequest(fleet, aCommand.mIndex, RequestKind::eOnline);
      break;
    case CommandKind::eStream:
      SendRequest(fleet, aCommand.mIndex, RequestKind::eStream);
      break;
    case CommandKind::eService:
      SendRequest(fleet, aCommand.mIndex, RequestKind::eService);
      break;
    case CommandKind::eServiceKey: {
      aRun.mLastIdempotencyKey = absl::StrCat("order-", fleet.mNextNumber);
      const uint64_t number = SendRequest(fleet,
                                          aCommand.mIndex,
                                          RequestKind::eServiceKey,
                                          aRun.mLastIdempotencyKey);
      aRun.mLastMarker = fleet.mOracle.mRequests.at(number).mMarker;
      break;
    }
    case CommandKind::eResend:
      if (!aRun.mLastMarker.empty()) {
        SendRequest(fleet,
                    aCommand.mIndex,
                    RequestKind::eServiceKey,
                    aRun.mLastIdempotencyKey,
                    aRun.mLastMarker);
      }
      break;
    case CommandKind::eBurst:
      for (uint32_t i = 0; i < 10; ++i) {
        SendRequest(fleet, aCommand.mIndex + i, RequestKind::eOnline);
      }
      break;
    case CommandKind::eBatch:
      aRun.mJobs.push_back(SubmitJob(fleet,
                                     aCommand.mIndex,
                                     static_cast<int>(aCommand.mIndex % 40) + 1,
                                     aCommand.mIndex % 3 == 0));
      break;
    case CommandKind::eCancelJob:
      if (!aRun.mJobs.empty()) {
        CancelJobOf(fleet,
                    aCommand.mIndex,
                    aRun.mJobs[aCommand.mIndex % aRun.mJobs.size()]);
      }
      break;
    case CommandKind::eReadResults:
      if (!aRun.mJobs.empty()) {
        ReadResults(fleet,
                    aCommand.mIndex,
                    aRun.mJobs[aCommand.mIndex % aRun.mJobs.size()]);
      }
      break;
    default:
      break;
  }
}

void
RunOperator(Run& aRun, const Command& aCommand)
{
  switch (aCommand.mKind) {
    case CommandKind::eWithdrawKey:
      ReplaceKey(aRun);
      break;
    case CommandKind::eChangeContract:
      ChangeContract(aRun, aCommand.mIndex);
      break;
    case CommandKind::eZoneOut:
    case CommandKind::eZoneIn:
      SetZone(aRun, aCommand.mIndex, aCommand.mKind == CommandKind::eZoneIn);
      break;
    case CommandKind::eTargetOut:
    case CommandKind::eTargetIn:
      SetTarget(
        aRun, aCommand.mIndex, aCommand.mKind == CommandKind::eTargetIn);
      break;
    default:
      break;
  }
}

NodeProcess&
NodeAt(Fleet& aFleet, uint32_t aIndex)
{
  return aFleet.mNodes.at(NodeAddress(aFleet, aIndex));
}

void
RunProcessFault(Run& aRun, const Command& aCommand)
{
  Fleet& fleet = aRun.mFleet;
  const size_t index = aCommand.mIndex;
  switch (aCommand.mKind) {
    case CommandKind::eKillControl:
      // At most one replica is down at a time: without a majority only refusals
      // could be checked.
      if (RunningControls(fleet) == fleet.mControls.size()) {
        KillControl(fleet, index);
      }
      break;
    case CommandKind::eRestartControl:
      RestartControl(fleet, index);
      break;
    case CommandKind::eKillLeader:
      KillControl(fleet, IndexOfLeader(fleet));
      break;
    case CommandKind::eKillEntry:
      KillEntry(fleet, index);
      break;
    case CommandKind::eRestartEntry:
      RestartEntry(fleet, index);
      break;
    case CommandKind::eKillNode:
      KillNode(fleet, index);
      break;
    case CommandKind::eRestartNode:
      RestartNode(fleet, index);
      break;
    case CommandKind::eStopEntry:
      StopEntry(fleet, index);
      break;
    case CommandKind::eStopNode:
      StopNode(fleet, index);
      break;
    default:
      break;
  }
}

void
RunTargetFault(Run& aRun, const Command& aCommand)
{
  Fleet& fleet = aRun.mFleet;
  switch (aCommand.mKind) {
    case CommandKind::eKillTarget:
      KillTargetOf(fleet, aCommand.mIndex);
      break;
    case CommandKind::eRestartTargetCold:
      RestartTarget(fleet, aCommand.mIndex, true);
      break;
    case CommandKind::eTurnCold: {
      StubTarget& target = NodeAt(fleet, aCommand.mIndex).mTarget;
      target.mServiceTime = Millis(400);
      break;
    }
    case CommandKind::eSilenceTarget:
      NodeAt(fleet, aCommand.mIndex).mTarget.mSilent = true;
      break;
    default:
      break;
  }
}

void
RunLinkFault(Run& aRun, const Command& aCommand)
{
  Fleet& fleet = aRun.mFleet;
  const size_t index = aCommand.mIndex;
  switch (aCommand.mKind) {
    case CommandKind::eIsolateLeader:
      Isolate(fleet, ControlAddress(fleet, IndexOfLeader(fleet)));
      break;
    case CommandKind::eIsolateEntry:
      Isolate(fleet, EntryAddress(fleet, index));
      break;
    case CommandKind::eIsolateNode:
      Isolate(fleet, NodeAddress(fleet, index));
      break;
    case CommandKind::eCutOneWay:
      if (index % 2 == 0) {
        Cut(fleet, EntryAddress(fleet, index), NodeAddress(fleet, index / 2));
      } else {
        Cut(fleet, NodeAddress(fleet, index / 2), EntryAddress(fleet, index));
      }
      break;
    case CommandKind::eHealLinks:
      fleet.mCut.clear();
      fleet.mSettings.mLoss = fleet.mSettings.mDuplicate = 0;
      break;
    case CommandKind::eLossy:
      fleet.mSettings.mLoss = 0.02;
      fleet.mSettings.mDuplicate = 0.05;
      break;
    default:
      break;
  }
}

void
CheckServiceReturned(Run& aRun)
{
  Fleet& fleet = aRun.mFleet;
  for (size_t entry = 0; entry < fleet.mEntries.size(); ++entry) {
    for (const RequestKind kind : { RequestKind::eOnline,
                                    RequestKind::eStream,
                                    RequestKind::eService }) {
      const uint64_t number = SendRequest(fleet, entry, kind);
      RunFor(fleet, Seconds(12));
      const CallerRequest& request = fleet.mOracle.mRequests.at(number);
      if (!request.mWhole || request.mStatus != 200) {
        ReportViolation(fleet.mOracle,
                        absl::StrCat("liveness: ",
                                     request.mMarker,
                                     " at entry ",
                                     entry,
                                     " got ",
                                     request.mStatus,
                                     " ",
                                     request.mBody));
      }
    }
  }
}

void
CheckEnd(Run& aRun)
{
  Fleet& fleet = aRun.mFleet;
  // A process that is in a graceful stop exits within this time, and the second
  // HealAll restarts it.
  constexpr Duration kLongestStop = Seconds(15);
  HealAll(fleet);
  RunFor(fleet, kLongestStop);
  HealAll(fleet);
  for (uint32_t zone = 0; zone < 3; ++zone) {
    SetZone(aRun, zone, true);
  }
  for (uint32_t target = 0; target < fleet.mNodes.size(); ++target) {
    SetTarget(aRun, target, true);
    NodeAt(fleet, target).mTarget.mServiceTime = Millis(40);
  }
  RunFor(fleet, Seconds(25));
  CheckServiceReturned(aRun);
  for (SubmittedJob& job : aRun.mJobs) {
    CheckJobEnded(fleet, 0, job);
  }
  for (const auto& [number, request] : fleet.mOracle.mRequests) {
    if (!request.mDone) {
      ReportViolation(fleet.mOracle,
                      absl::StrCat("liveness: request ",
                                   request.mMarker,
                                   " sent at ",
                                   request.mSent.mMicros / 1000,
                                   " ms was never answered"));
    }
  }
  for (const auto& [address, process] : fleet.mNodes) {
    const StubTarget& target = process.mTarget;
    if (target.mMostWhileCold > target.mColdCallLimit) {
      ReportViolation(fleet.mOracle,
                      absl::StrCat("I6: a cold target got ",
                                   target.mMostWhileCold,
                                   " calls at once"));
    }
  }
  CheckRecord(fleet.mOracle);
}

} // namespace

std::string
CommandName(CommandKind aKind)
{
  return kNames[static_cast<size_t>(aKind)];
}

std::ostream&
operator<<(std::ostream& aOut, const Command& aCommand)
{
  return aOut << CommandName(aCommand.mKind) << '(' << aCommand.mIndex << ") +"
              << aCommand.mWaitMillis << "ms";
}

std::vector<std::string>
RunCommands(const FleetSettings& aSettings,
            const std::vector<Command>& aCommands,
            std::string* aTrace)
{
  const std::unique_ptr<Fleet> fleet = StartFleet(aSettings);
  Run run{ *fleet, {}, {}, {} };
  for (const Command& command : aCommands) {
    if (!fleet->mOracle.mViolations.empty()) {
      break;
    }
    RunCaller(run, command);
    RunOperator(run, command);
    RunProcessFault(run, command);
    RunTargetFault(run, command);
    RunLinkFault(run, command);
    RunFor(*fleet, Millis(command.mWaitMillis));
  }
  if (fleet->mOracle.mViolations.empty()) {
    CheckEnd(run);
  }
  if (aTrace != nullptr && !fleet->mOracle.mViolations.empty()) {
    for (const std::string& line : fleet->mTrace) {
      absl::StrAppend(aTrace, line, "\n");
    }
  }
  return fleet->mOracle.mViolations;
}

} // namespace caraway::fleet
