// Stateful fuzzing of a whole fleet: RapidCheck draws commands for the real
// role state machines, which are joined by lossy links.
//
// Usage: fleet_fuzz SEED STEPS [serving]
//
// Prints the seed, and on failure the commands, the violated guarantees and the
// last decisions. The verdict depends on seed and steps alone.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

#include <rapidcheck.h>

#include "fuzz/fleet/commands.h"

using namespace caraway::fleet;

namespace {

constexpr size_t kCommandsPerCase = 40;

rc::Gen<Command>
AnyCommand(bool aServing)
{
  // Caller commands are drawn more often, so that faults occur while requests
  // are in flight.
  return rc::gen::map(
    rc::gen::tuple(rc::gen::inRange(0, 10),
                   rc::gen::inRange(0, static_cast<int>(CommandKind::eCount)),
                   rc::gen::inRange<uint32_t>(0, 1000),
                   rc::gen::inRange<uint32_t>(0, 600)),
    [aServing](const std::tuple<int, int, uint32_t, uint32_t>& aDraw) {
      const auto& [mix, kind, index, wait] = aDraw;
      Command command;
      const int callers = static_cast<int>(CommandKind::eBurst) + 1;
      command.mKind = static_cast<CommandKind>(mix < 5 ? kind % callers : kind);
      const bool control = command.mKind == CommandKind::eKillControl ||
                           command.mKind == CommandKind::eKillLeader ||
                           command.mKind == CommandKind::eIsolateLeader;
      if (aServing && control) {
        command.mKind = CommandKind::eWait;
      }
      command.mIndex = index;
      command.mWaitMillis = wait;
      return command;
    });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    std::cerr << "usage: fleet_fuzz SEED STEPS [serving]\n";
    return 2;
  }
  const std::string seed = aArguments[1];
  const size_t steps = std::strtoull(aArguments[2], nullptr, 10);
  const bool serving = aCount > 3 && std::string(aArguments[3]) == "serving";
  const size_t cases = std::max<size_t>(1, steps / kCommandsPerCase);
  const std::string parameters =
    "seed=" + seed + " max_success=" + std::to_string(cases) +
    " max_size=" + std::to_string(kCommandsPerCase) +
    " noshrink=1 noshrink=1 verbose_progress=0";
  setenv("RC_PARAMS", parameters.c_str(), 1);
  std::cout << (serving ? "serving" : "fleet") << " seed " << seed << " steps "
            << steps << '\n';
  FleetSettings settings;
  if (serving) {
    settings.mControls = 1;
    settings.mEntries = 1;
  }
  const bool ok = rc::check("every promise holds", [&] {
    settings.mSeed = *rc::gen::arbitrary<uint64_t>();
    const auto commands =
      *rc::gen::resize(static_cast<int>(kCommandsPerCase) * 2,
                       rc::gen::container<std::vector<Command>>(rc::gen::resize(
                         rc::kNominalSize, AnyCommand(serving))));
    std::string trace;
    const auto broken = RunCommands(settings, commands, &trace);
    if (!broken.empty()) {
      RC_LOG() << trace;
      for (const std::string& line : broken) {
        RC_LOG() << line << '\n';
      }
      RC_FAIL(broken.front());
    }
  });
  std::cout << (ok ? "fuzz: ok" : "fuzz: FAILED") << '\n';
  return ok ? 0 : 1;
}
