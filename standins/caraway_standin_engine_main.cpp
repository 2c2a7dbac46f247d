// caraway-standin-engine: stands in for a model engine in tests and the demo.

#include <iostream>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "standins/announcer.h"
#include "standins/engine_server.h"
#include "standins/standin_settings.h"

using namespace caraway;

namespace {

const std::string kUsage =
  std::string(R"(caraway-standin-engine: stands in for a model engine.

Usage:
  caraway-standin-engine [options]
  caraway-standin-engine (-h | --help)
  caraway-standin-engine --version

Every option can also be set as CARAWAY_STANDIN_NAME in the environment.

Options:
  --model=NAME         The loaded model.
  --step-us=N          Base time of one decoding step [18000].
  --bearable=N         Concurrent calls above which steps slow down [96].
  --cold-bearable=N    Concurrent calls above which a cold engine crashes [1].
  --cold-ms=N          Time from start to warm [10000].
  --warm               Start warm.
  --ends-by-close      Answer without a length and chunks; a crash then ends
                       streams in the same way as their last byte does.
  --fencing            Refuse orders with an old fencing token.)") +
  kStandinUsage;

} // namespace

int
main(int aCount, char** aArguments)
{
  SettingsReader reader(kUsage, "CARAWAY_STANDIN", aCount, aArguments);
  const StandinSettings common = ReadStandinSettings(reader);
  const std::string model = reader.Name("model");
  EngineSettings engine;
  engine.mSeed = common.mSeed;
  engine.mStepBase = Micros(
    static_cast<int64_t>(reader.Number("step-us", 18000, 100, 10000000)));
  engine.mCallCapacity =
    static_cast<uint32_t>(reader.Number("bearable", 96, 1, 100000));
  engine.mColdCallCapacity =
    static_cast<uint32_t>(reader.Number("cold-bearable", 1, 1, 100000));
  engine.mColdFor =
    reader.Milliseconds("cold-ms", engine.mColdFor, Millis(0), Seconds(3600));
  engine.mChecksFencing = reader.Flag("fencing");
  const bool warm = reader.Flag("warm");
  const bool endsByClose = reader.Flag("ends-by-close");
  reader.Finish();

  Loop loop;
  EngineServer server(loop, common.mHttp, engine, model, !warm, endsByClose);
  if (const absl::Status status = server.Start(); !status.ok()) {
    std::cerr << status.message() << '\n';
    return 1;
  }
  const nlohmann::json body{ { "target", common.mTarget },
                             { "kind", "engine" },
                             { "url", "http://" + server.Address() },
                             { "models", { model } },
                             { "services", nlohmann::json::array() },
                             { "start_id", std::to_string(getpid()) },
                             { "capabilities",
                               { { "resume", true },
                                 { "cancel", true },
                                 { "fencing", engine.mChecksFencing } } } };
  Announcer announcer(loop, common.mNode, body.dump());
  announcer.Start();
  loop.mOnStop.connect([&loop] { loop.Exit(); });
  loop.Run();
  return 0;
}
