// Measures control replicas at the design size: bytes of durable state per
// object, and the virtual time from the answer to an operator until the change
// is in force. Prints lines `name value bound verdict`, where a bound of 0
// means none, and exits non-zero if a bound is missed.

#include <chrono>
#include <cstdio>
#include <deque>

#include <nlohmann/json.hpp>

#include "caraway/config/operations.h"
#include "caraway/control/step.h"
#include "tests/control_holder.h"

using namespace caraway;

namespace {

bool gFailed = false;

void
Report(const std::string& aName, double aValue, double aBound)
{
  const bool ok = aBound <= 0 || aValue <= aBound;
  gFailed = gFailed || !ok;
  std::printf("%s %.4g %.4g %s\n",
              aName.c_str(),
              aValue,
              aBound,
              aBound <= 0 ? "reported" : (ok ? "ok" : "MISSED"));
}

Contract
SampleContract(size_t aNumber)
{
  Contract contract;
  contract.mWorkspace = WorkspaceId("workspace-" + std::to_string(aNumber));
  contract.mRate = 10;
  contract.mBurst = 20;
  contract.mModels = { ModelId("tekst-model"), ModelId("wordmill") };
  contract.mRoutes = { RouteId("stock") };
  return contract;
}

ConfigChange
SampleKey(size_t aNumber)
{
  ApiKey key;
  char id[24];
  std::snprintf(id, sizeof(id), "ck_%016zx", aNumber);
  key.mId = KeyId(id);
  key.mWorkspace = WorkspaceId("workspace-" + std::to_string(aNumber));
  return CreateKey{ key };
}

ConfigChange
SampleMember(size_t aNumber)
{
  Member member;
  member.mInstance = InstanceId("node-" + std::to_string(aNumber));
  member.mEpoch = Epoch(aNumber);
  member.mRole = MemberRole::eNode;
  member.mAddress = PeerAddress("10.20.30.40:7000");
  member.mZone = ZoneId("vest-a");
  member.mRegion = RegionId("dk-vest");
  member.mTarget.mId = TargetId("tekst-" + std::to_string(aNumber));
  member.mTarget.mModels = { ModelId("tekst-model") };
  return SetMember{ member };
}

// Returns the encoded bytes per object, without the retained changes.
template<class Make>
double
BytesEach(size_t aCount, Make aMake)
{
  ControlState state;
  const size_t before = EncodeControlState(state).size();
  for (size_t at = 0; at < aCount; ++at) {
    AppendChange(state.mConfig, aMake(at));
  }
  state.mConfig.mRecent.clear();
  return static_cast<double>(EncodeControlState(state).size() - before) /
         static_cast<double>(aCount);
}

void
MeasureState()
{
  Report(
    "control.bytes_per_contract",
    BytesEach(10000,
              [](size_t aAt) { return SetContract{ SampleContract(aAt) }; }),
    0);
  Report("control.bytes_per_key", BytesEach(10000, SampleKey), 0);
  Report("control.bytes_per_member", BytesEach(1090, SampleMember), 0);
  ControlState state;
  for (size_t at = 0; at < 39000; ++at) {
    AppendChange(state.mConfig, SetContract{ SampleContract(at) });
    AppendChange(state.mConfig, SampleKey(at));
  }
  for (size_t at = 0; at < 1090; ++at) {
    AppendChange(state.mConfig, SampleMember(at));
  }
  const auto begin = std::chrono::steady_clock::now();
  const std::string encoded = EncodeControlState(state);
  const std::chrono::duration<double> taken =
    std::chrono::steady_clock::now() - begin;
  Report("control.state_megabytes_at_design_size",
         static_cast<double>(encoded.size()) / 1e6,
         0);
  // Encoding blocks the event loop, and a leader that blocks for the shortest
  // election timeout (0.5 s) is replaced. No bound, since this is wall time.
  Report("control.encode_state_seconds", taken.count(), 0);
}

struct Fleet
{
  ControlLink mLink{ 3 };
  std::deque<LinkHolder> mHolders;

  explicit Fleet(size_t aHolders)
  {
    mLink.StartAll();
    mLink.AwaitLeader();
    for (size_t at = 0; at < aHolders; ++at) {
      mHolders.push_back(
        MakeHolder(mLink, at, "zone-" + std::to_string(at % 4)));
      LinkHolder& holder = mHolders.back();
      holder.mFetchFrom = at % 3;
      // Spreads lease renewals over a second, as if the members had started
      // independently.
      const auto offset = static_cast<int64_t>(at * 1000000 / aHolders);
      mLink.At(mLink.mNow + Micros(offset), [&holder] { holder.Begin(); });
    }
    mLink.Run(Seconds(6));
  }

  uint64_t Put(const std::string& aWorkspace)
  {
    const HttpResponse response = mLink.Write(
      "PUT", "/admin/contracts/" + aWorkspace, R"({"rate":10,"burst":20})");
    return nlohmann::json::parse(response.mBody)["revision"];
  }

  // Returns the seconds until aRevision is in force, at most about aLimit.
  double AwaitInForce(uint64_t aRevision, double aLimit)
  {
    const MonoTime begin = mLink.mNow;
    while ((mLink.mNow - begin).Seconds() < aLimit) {
      Control& control = mLink.LeaderControl();
      const Revision inForce =
        ReportInForce(control.mLeadership.mSessions,
                      mLink.mNow,
                      control.mState.mConfig.mView.mRevision);
      if (inForce.mValue >= aRevision) {
        break;
      }
      mLink.Run(Millis(1));
    }
    return (mLink.mNow - begin).Seconds();
  }
};

double
InForceBoundSeconds(size_t aHolders)
{
  return aHolders <= 50 ? 2 : 7;
}

void
MeasureInForce(size_t aHolders)
{
  Fleet fleet(aHolders);
  double worst = 0;
  for (int round = 0; round < 10; ++round) {
    worst = std::max(
      worst, fleet.AwaitInForce(fleet.Put("w" + std::to_string(round)), 30));
    fleet.mLink.Run(Millis(137));
  }
  const std::string size = std::to_string(aHolders);
  Report(
    "control.in_force_seconds_" + size, worst, InForceBoundSeconds(aHolders));
  const uint64_t before = fleet.mLink.mControlBytes;
  fleet.mLink.Run(Seconds(10));
  // The target is 6 KB/s for both directions together; this measures only what
  // control sends.
  Report("control.bytes_per_second_to_each_holder_" + size,
         static_cast<double>(fleet.mLink.mControlBytes - before) / 10 /
           static_cast<double>(aHolders),
         6000);
  if (aHolders < 390) {
    return;
  }
  // One holder stops responding just before the change.
  fleet.mHolders[0].mSilent = true;
  Report("control.in_force_seconds_one_silent_" + size,
         fleet.AwaitInForce(fleet.Put("silent"), 30),
         InForceBoundSeconds(aHolders));
}

// One look of the leader at a roll-out, which it takes at each scan.
void
MeasureRollout()
{
  constexpr size_t kEntries = 390;
  constexpr int kLooks = 100;
  RolloutWatch watch;
  for (size_t at = 0; at < kEntries; ++at) {
    RolloutReport report;
    report.mEntry = InstanceId("entry-" + std::to_string(at));
    for (const char* route : { "completions", "chat", "embeddings" }) {
      AnswerCounts counts;
      counts.mAnswers = 100;
      counts.mTimes[at % kTimeBuckets] = 100;
      report.mAnswers.push_back({ RouteId(route), {}, counts });
      for (const char* target : { "a", "b", "c", "d" }) {
        report.mAnswers.push_back({ RouteId(route),
                                    TargetId(std::string("target-") + target),
                                    counts });
      }
    }
    watch.mReports[report.mEntry] = std::move(report);
  }
  uint64_t answers = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int look = 0; look < kLooks; ++look) {
    answers += JudgeRollout(SumEvidence(watch)).mAnswers;
  }
  const std::chrono::duration<double> taken =
    std::chrono::steady_clock::now() - begin;
  gFailed = gFailed || answers == 0;
  Report(
    "control.judge_rollout_seconds_390_entries", taken.count() / kLooks, 0);
}

} // namespace

int
main()
{
  MeasureState();
  MeasureRollout();
  for (size_t holders : { 2, 50, 390, 1090 }) {
    MeasureInForce(holders);
  }
  return gFailed ? 1 : 0;
}
