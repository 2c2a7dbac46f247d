// caraway-entry: the daemon of an entry, which serves callers over HTTP.

#include "daemons/daemon_settings.h"

using namespace caraway;

namespace {

const std::string kUsage =
  std::string(R"(caraway-entry: serves callers over HTTP.

Usage:
  caraway-entry [options]
  caraway-entry (-h | --help)
  caraway-entry --version

Every option can also be set as CARAWAY_ENTRY_NAME in the environment.

Options:
  --instance=NAME          Unique name of this process.
  --zone=NAME              Availability zone it runs in.
  --region=NAME            Region it runs in.
  --control=LIST           Peer addresses of all control replicas, IP:PORT,IP:PORT,...
  --route-policy=POLICY    least-loaded, round-robin or random [least-loaded].
  --deadline-ms=N          Deadline of requests that set none [60000].
  --subset=N               Targets watched per model or service [6].
  --retry-budget=X         Retries per request, as a fraction [0.1].
  --max-active=N           Requests in progress at most [4096].
  --operator-token-file=FILE  File with the operators' token, as control has it.
                           With it, operators may ask where a request would go.
  --grace=SECONDS          Time from SIGTERM until the process is killed [10]. All
                           requests that it has read are answered before.)") +
  kCommonUsage;

EntrySettings
ReadEntrySettings(SettingsReader& aReader)
{
  EntrySettings settings;
  settings.mInstance = InstanceId(aReader.Name("instance"));
  settings.mZone = ZoneId(aReader.Name("zone"));
  settings.mRegion = RegionId(aReader.Name("region"));
  for (const std::string& address : aReader.AddressList("control")) {
    settings.mControl.emplace_back(address);
  }
  const std::string policy =
    aReader.Choice("route-policy",
                   "least-loaded",
                   { "least-loaded", "round-robin", "random" });
  if (policy == "round-robin") {
    settings.mPolicy = RoutePolicy::eRoundRobin;
  } else if (policy == "random") {
    settings.mPolicy = RoutePolicy::eRandom;
  }
  settings.mDefaultDeadline = aReader.Milliseconds(
    "deadline-ms", settings.mDefaultDeadline, Millis(100), Seconds(3600));
  settings.mSubsetPerModel = static_cast<uint32_t>(
    aReader.Number("subset", settings.mSubsetPerModel, 1, 64));
  settings.mRetryBudget =
    aReader.Fraction("retry-budget", settings.mRetryBudget);
  settings.mMaxActiveRequests = static_cast<uint32_t>(
    aReader.Number("max-active", settings.mMaxActiveRequests, 1, 100000));
  settings.mStopGrace = ReadStopGrace(aReader);
  if (!aReader.Optional("operator-token-file", "").empty()) {
    settings.mOperatorTokenDigest = ReadOperatorToken(aReader);
  }
  settings.mSeed = SystemRandom();
  return settings;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  PrepareProcess();
  SettingsReader reader(kUsage, "CARAWAY_ENTRY", aCount, aArguments);
  const EntrySettings settings = ReadEntrySettings(reader);
  const DaemonSettings common = ReadDaemonSettings(reader);
  reader.Finish();
  Loop loop;
  EntryHost host(loop, settings, common.mPeer, common.mHttp, SystemRandom());
  RunDaemon(loop, host, common.mLog, settings.mInstance);
}
