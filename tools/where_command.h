#pragma once
// `caraway explain where`: asks an entry where a request or job would go now,
// and why, without sending it.

#include "tools/batch_commands.h"

namespace caraway {

// aClient: an entry's listener that operators use, with their token as the key.
CliResult
RunWhereCommand(Loop& aLoop,
                const EntryClient& aClient,
                SettingsReader& aReader);

// The entry's answer in text: admission, callers that wait, and the targets in
// the order in which the request would try them.
std::string
WhereText(const std::string& aJson);

} // namespace caraway
