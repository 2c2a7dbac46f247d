#pragma once
// Commands of a fuzz run: caller requests, operator changes and faults, in any
// combination.

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "fuzz/fleet/fleet.h"

namespace caraway::fleet {

enum class CommandKind : uint8_t
{
  eOnline,
  eStream,
  eService,
  eServiceKey,
  eResend, // the last keyed service call, at another entry
  eBurst,  // ten online requests at once
  eBatch,
  eCancelJob,
  eReadResults,
  eWithdrawKey, // after creating a new key
  eChangeContract,
  eZoneOut,
  eZoneIn,
  eTargetOut,
  eTargetIn,
  eKillControl,
  eRestartControl,
  eKillLeader,
  eIsolateLeader,
  eKillEntry,
  eRestartEntry,
  eKillNode,
  eRestartNode,
  eKillTarget,
  eRestartTargetCold,
  eTurnCold, // slows the target down without an announcement
  eSilenceTarget,
  eIsolateEntry,
  eIsolateNode,
  eCutOneWay,
  eHealLinks,
  eStopEntry,
  eStopNode,
  eLossy,
  eWait,
  eCount, // number of kinds
};

struct Command
{
  CommandKind mKind = CommandKind::eOnline;
  uint32_t mIndex = 0;      // which process, job or entry
  uint32_t mWaitMillis = 0; // time that passes afterwards
};

std::string
CommandName(CommandKind aKind);

std::ostream&
operator<<(std::ostream& aOut, const Command& aCommand);

// Runs the commands on a new fleet, then stops all faults and checks safety and
// liveness. Returns the violated guarantees, empty if all hold. aTrace receives
// the last decisions if a guarantee was violated.
std::vector<std::string>
RunCommands(const FleetSettings& aSettings,
            const std::vector<Command>& aCommands,
            std::string* aTrace);

} // namespace caraway::fleet
