// caraway-control: the daemon of one control replica, which keeps the
// replicated log, the configuration and the batch ledger.

#include "caraway/runtime/control_host.h"

#include <openssl/rand.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "daemons/daemon_settings.h"

using namespace caraway;

namespace {

const std::string kUsage =
  std::string(R"(caraway-control: one replica of the durable state.

Usage:
  caraway-control [options]
  caraway-control (-h | --help)
  caraway-control --version

Every option can also be set as CARAWAY_CONTROL_NAME in the environment.

Options:
  --replica=N              Number of this replica. Never reused: a replica that lost
                           its disk gets a new number and is added again.
  --data=FOLDER            Data folder; created if it does not exist.
  --replicas=LIST          First replica set, N=IP:PORT,N=IP:PORT,... (peer
                           addresses). Only read when the data folder is empty.
                           For a replica that is added later, list the replicas
                           that exist, without itself.
  --operator-token-file=FILE  File with the operators' token, at least 16 characters.
  --config-lease-ms=N      Configuration lease of entries and nodes [3000].
  --result-retention-h=N   Hours that results of finished jobs are kept [720].
  --snapshot-every=N       Log entries between snapshots [20000].)") +
  kCommonUsage;

ReplicaSet
ReadReplicas(SettingsReader& aReader)
{
  ReplicaSet replicas;
  const std::vector<std::string> entries =
    absl::StrSplit(aReader.Optional("replicas", ""), ',', absl::SkipEmpty());
  for (const std::string& entry : entries) {
    const std::vector<std::string> parts =
      absl::StrSplit(entry, absl::MaxSplits('=', 1));
    uint64_t id = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &id) || id == 0 ||
        !ParseSocketAddress(parts[1]).ok()) {
      aReader.NoteError("--replicas",
                        "'" + entry + "' is not N=IP:PORT",
                        "write the list as 1=10.0.0.1:7000,2=10.0.0.2:7000");
      continue;
    }
    Replica replica;
    replica.mId = ReplicaId(id);
    replica.mAddress = parts[1];
    replicas.mReplicas.push_back(replica);
  }
  return replicas;
}

ControlSettings
ReadControlSettings(SettingsReader& aReader)
{
  constexpr size_t kKeySeedBytes = 32;
  constexpr int64_t kSecondsPerHour = 3600;
  ControlSettings settings;
  aReader.Required("replica");
  settings.mReplica = ReplicaId(aReader.Number("replica", 1, 1, 1ULL << 32));
  settings.mInitialReplicas = ReadReplicas(aReader);
  settings.mOperatorTokenDigest = ReadOperatorToken(aReader);
  settings.mConfigLease = aReader.Milliseconds(
    "config-lease-ms", settings.mConfigLease, Millis(500), Seconds(60));
  settings.mResultRetention =
    Seconds(kSecondsPerHour * static_cast<int64_t>(aReader.Number(
                                "result-retention-h", 720, 1, 24 * 365)));
  settings.mRaft.mSnapshotEvery = static_cast<uint32_t>(aReader.Number(
    "snapshot-every", settings.mRaft.mSnapshotEvery, 100, 10000000));
  settings.mSeed = SystemRandom();
  settings.mKeySeed.resize(kKeySeedBytes);
  RAND_bytes(reinterpret_cast<unsigned char*>(settings.mKeySeed.data()),
             kKeySeedBytes);
  return settings;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  PrepareProcess();
  SettingsReader reader(kUsage, "CARAWAY_CONTROL", aCount, aArguments);
  const ControlSettings settings = ReadControlSettings(reader);
  const std::string folder = reader.Required("data");
  const DaemonSettings common = ReadDaemonSettings(reader);
  reader.Finish();
  Loop loop;
  ControlHost host(loop, settings, folder, common.mPeer, common.mHttp);
  RunDaemon(loop,
            host,
            common.mLog,
            InstanceId("control-" + std::to_string(settings.mReplica.mValue)));
}
