#pragma once
// Settings common to all daemons, their usage text, and the main function's
// common part.

#include "caraway/runtime/runtime.h"

namespace caraway {

// Appended to the usage text of each daemon.
constexpr const char* kCommonUsage = R"(
  --http=ADDRESS           IP:PORT of the HTTP listener.
  --peer=ADDRESS           IP:PORT of the listener for other processes (TCP and UDP).
  --advertise=ADDRESS      IP:PORT that other processes reach it by [same as --peer].
  --peer-cert=FILE         PEM certificate for mutual TLS between processes.
  --peer-key=FILE          PEM private key of --peer-cert.
  --peer-ca=FILE           PEM authority that all processes' certificates chain to.
  --http-cert=FILE         PEM certificate for TLS on the HTTP listener.
  --http-key=FILE          PEM private key of --http-cert.
  --max-body-bytes=N       Largest HTTP request body [16777216].
  --max-connections=N      Open connections before new ones wait [8192].
  --log-format=FORMAT      kv or json [kv].
  --log-level=LEVEL        debug, info, warning or error [info].
  --log-file=FILE          Append the log to this file instead of standard error.
  --check                  Validate the settings and exit.
  -h --help                Show this help.
  --version                Show the version.
)";

struct DaemonSettings
{
  PeerSettings mPeer;
  HttpServerSettings mHttp;
  LogSettings mLog;
};

DaemonSettings
ReadDaemonSettings(SettingsReader& aReader);

// Reads --log-level, which every usage text declares.
LogLevel
ReadLogLevel(SettingsReader& aReader);

// Reads --grace, which every usage text of an entry or node declares.
Duration
ReadStopGrace(SettingsReader& aReader);

// Reads the file of --operator-token-file, which every usage text of a control
// replica or entry declares. Returns the token's SHA-256 in hexadecimal.
std::string
ReadOperatorToken(SettingsReader& aReader);

// A random number other than 0 from OpenSSL, for incarnations and seeds.
uint64_t
SystemRandom();

// Opens the log, starts the host, runs the loop until the role has ended, and
// ends the process.
template<class Host>
[[noreturn]] void
RunDaemon(Loop& aLoop,
          Host& aHost,
          const LogSettings& aLog,
          const InstanceId& aInstance)
{
  OpenLog(aLog, aInstance);
  SetEarlyStopLine(aLog, aInstance);
  const absl::Status status = aHost.Start();
  if (!status.ok()) {
    EndProcess(ProcessEnd::eStartFailed, std::string(status.message()));
  }
  const LoopEnd end = aLoop.Run();
  // All responses are sent and all acknowledged writes are synced.
  EndProcess(end.mEnd, end.mReason);
}

} // namespace caraway
