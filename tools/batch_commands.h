#pragma once
// The `caraway batch` commands of callers: submit, status, list, results and
// cancel.

#include <string>

#include "caraway/runtime/http_fetch.h"
#include "caraway/runtime/settings_reader.h"
#include "tools/cli_result.h"

namespace caraway {

struct EntryClient
{
  std::string mUrl;       // http://IP:PORT of an entry or a load balancer
  std::string mKey;       // the caller's API key
  std::string mAuthority; // CA file in PEM format, for https
};

// Runs the batch command that the flags in aReader select.
CliResult
RunBatchCommand(Loop& aLoop,
                const EntryClient& aClient,
                SettingsReader& aReader);

} // namespace caraway
