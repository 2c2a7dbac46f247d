// caraway-node: the daemon beside one target, which admits and schedules its
// calls.

#include "daemons/daemon_settings.h"

using namespace caraway;

namespace {

const std::string kUsage =
  std::string(R"(caraway-node: the process beside one target.

Usage:
  caraway-node [options]
  caraway-node (-h | --help)
  caraway-node --version

Every option can also be set as CARAWAY_NODE_NAME in the environment. The target
announces itself by POST /announce to the HTTP listener.

Options:
  --instance=NAME          Unique name of this process.
  --zone=NAME              Availability zone it runs in.
  --region=NAME            Region it runs in.
  --control=LIST           Peer addresses of all control replicas, IP:PORT,IP:PORT,...
  --schedule-policy=POLICY online-first, first-come or fixed-split [online-first].
  --cold-limit=N           Concurrent calls at a cold target, at most [1].
  --max-limit=N            Concurrent calls at the target, at most [256].
  --token-goal-ms=N        Goal for the time between tokens, p95 [74].
  --first-token-goal-ms=N  Goal for the time to the first token, p95 [750].
  --max-queue=N            Online requests that may wait [512].
  --target-fencing=WORD    checked or ignored: whether the target refuses orders with
                           an old fencing token [ignored].
  --grace=SECONDS          Time from SIGTERM until the process is killed [10]. All
                           requests that it has read are answered before.)") +
  kCommonUsage;

NodeSettings
ReadNodeSettings(SettingsReader& aReader)
{
  NodeSettings settings;
  settings.mInstance = InstanceId(aReader.Name("instance"));
  settings.mZone = ZoneId(aReader.Name("zone"));
  settings.mRegion = RegionId(aReader.Name("region"));
  for (const std::string& address : aReader.AddressList("control")) {
    settings.mControl.emplace_back(address);
  }
  const std::string policy =
    aReader.Choice("schedule-policy",
                   "online-first",
                   { "online-first", "first-come", "fixed-split" });
  if (policy == "first-come") {
    settings.mPolicy = SchedulePolicy::eFirstCome;
  } else if (policy == "fixed-split") {
    settings.mPolicy = SchedulePolicy::eFixedSplit;
  }
  settings.mColdLimit = static_cast<uint32_t>(
    aReader.Number("cold-limit", settings.mColdLimit, 1, 10000));
  settings.mMaxLimit = static_cast<uint32_t>(
    aReader.Number("max-limit", settings.mMaxLimit, 1, 10000));
  settings.mTokenGoal = aReader.Milliseconds(
    "token-goal-ms", settings.mTokenGoal, Millis(1), Seconds(60));
  settings.mFirstTokenGoal = aReader.Milliseconds(
    "first-token-goal-ms", settings.mFirstTokenGoal, Millis(1), Seconds(600));
  settings.mMaxOnlineQueue = static_cast<uint32_t>(
    aReader.Number("max-queue", settings.mMaxOnlineQueue, 1, 100000));
  settings.mTargetChecksFencing =
    aReader.Choice("target-fencing", "ignored", { "checked", "ignored" }) ==
    "checked";
  settings.mStopGrace = ReadStopGrace(aReader);
  settings.mSeed = SystemRandom();
  return settings;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  PrepareProcess();
  SettingsReader reader(kUsage, "CARAWAY_NODE", aCount, aArguments);
  const NodeSettings settings = ReadNodeSettings(reader);
  const DaemonSettings common = ReadDaemonSettings(reader);
  reader.Finish();
  Loop loop;
  NodeHost host(loop, settings, common.mPeer, common.mHttp, SystemRandom());
  RunDaemon(loop, host, common.mLog, settings.mInstance);
}
