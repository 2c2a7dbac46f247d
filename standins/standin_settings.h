#pragma once
// Settings that all stand-in programs share.

#include <string>

#include "caraway/runtime/http_server.h"
#include "caraway/runtime/settings_reader.h"

namespace caraway {

constexpr const char* kStandinUsage = R"(
  --listen=ADDRESS     IP:PORT of the HTTP listener.
  --node=ADDRESS       IP:PORT of the HTTP listener of the node beside it.
  --target=NAME        Name of this target.
  --seed=N             Seed of its random source [1].
  --check              Validate the settings and exit.
  -h --help            Show this help.
  --version            Show the version.
)";

struct StandinSettings
{
  HttpServerSettings mHttp;
  std::string mNode;
  std::string mTarget;
  uint64_t mSeed = 1;
};

inline StandinSettings
ReadStandinSettings(SettingsReader& aReader)
{
  StandinSettings settings;
  settings.mHttp.mListen = aReader.Address("listen");
  settings.mNode = aReader.Address("node");
  settings.mTarget = aReader.Name("target");
  settings.mSeed = aReader.Number("seed", 1, 0, UINT64_MAX);
  return settings;
}

} // namespace caraway
