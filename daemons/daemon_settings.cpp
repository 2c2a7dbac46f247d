// Settings common to all daemons.

#include "daemons/daemon_settings.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/rand.h>

#include "absl/strings/escaping.h"
#include "caraway/base/stop_times.h"

namespace caraway {

namespace {

TlsFiles
ReadTls(SettingsReader& aReader, const std::string& aPrefix, bool aMutual)
{
  TlsFiles files;
  files.mCertificate = aReader.Optional(aPrefix + "-cert", "");
  if (files.mCertificate.empty()) {
    return files;
  }
  files.mPrivateKey = aReader.Required(aPrefix + "-key");
  if (aMutual) {
    files.mAuthority = aReader.Required(aPrefix + "-ca");
  }
  const TlsMode mode = aMutual ? TlsMode::eMutualServer : TlsMode::eServer;
  if (auto context = MakeTlsContext(files, mode); !context.ok()) {
    aReader.NoteError("--" + aPrefix + "-cert",
                      std::string(context.status().message()),
                      "see docs/security.md for making certificates");
  }
  return files;
}

} // namespace

LogLevel
ReadLogLevel(SettingsReader& aReader)
{
  const std::string word = aReader.Choice(
    "log-level", "info", { "debug", "info", "warning", "error" });
  if (word == "debug") {
    return LogLevel::eDebug;
  }
  if (word == "warning") {
    return LogLevel::eWarning;
  }
  return word == "error" ? LogLevel::eError : LogLevel::eInfo;
}

Duration
ReadStopGrace(SettingsReader& aReader)
{
  constexpr double kShortest = 1;
  constexpr double kLongest = 3600;
  constexpr double kMicros = 1e6;
  return Micros(static_cast<int64_t>(
    kMicros * aReader.Decimal(
                "grace", kDefaultStopGrace.Seconds(), kShortest, kLongest)));
}

std::string
ReadOperatorToken(SettingsReader& aReader)
{
  constexpr size_t kMinTokenChars = 16;
  const std::string token = aReader.FileContents("operator-token-file");
  if (!token.empty() && token.size() < kMinTokenChars) {
    aReader.NoteError("--operator-token-file",
                      "the token is too short",
                      "use at least 16 random characters");
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(
    token.data(), token.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

DaemonSettings
ReadDaemonSettings(SettingsReader& aReader)
{
  constexpr uint64_t kLargestBody = 1ULL << 30;
  constexpr uint64_t kMostConnections = 100000;
  DaemonSettings settings;
  settings.mHttp.mListen = aReader.Address("http");
  settings.mHttp.mTls = ReadTls(aReader, "http", false);
  settings.mHttp.mMaxBodyBytes = aReader.Number(
    "max-body-bytes", settings.mHttp.mMaxBodyBytes, 1024, kLargestBody);
  settings.mHttp.mMaxConnections = static_cast<int>(
    aReader.Number("max-connections",
                   static_cast<uint64_t>(settings.mHttp.mMaxConnections),
                   16,
                   kMostConnections));
  settings.mPeer.mListen = aReader.Address("peer");
  settings.mPeer.mTls = ReadTls(aReader, "peer", true);
  if (!aReader.Optional("advertise", "").empty()) {
    settings.mPeer.mAddress = PeerAddress(aReader.Address("advertise"));
  }
  settings.mLog.mFormat =
    aReader.Choice("log-format", "kv", { "kv", "json" }) == "json"
      ? LogFormat::eJson
      : LogFormat::eKeyValue;
  settings.mLog.mLevel = ReadLogLevel(aReader);
  settings.mLog.mFile = aReader.Optional("log-file", "");
  return settings;
}

uint64_t
SystemRandom()
{
  uint64_t value = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  return value | 1; // never 0, which means "none"
}

} // namespace caraway
