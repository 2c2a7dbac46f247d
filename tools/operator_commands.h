#pragma once
// The operator commands: contract, key, route, zone, target, replica, status.

#include "caraway/runtime/settings_reader.h"
#include "tools/cli_result.h"
#include "tools/control_client.h"

namespace caraway {

CliResult
RunOperatorCommand(Loop& aLoop,
                   const ControlClient& aClient,
                   SettingsReader& aReader);

} // namespace caraway
