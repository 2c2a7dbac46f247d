#pragma once
// The callers' batch commands: submit, status, list, results, cancel.

#include <string>

#include "caraway/runtime/http_fetch.h"
#include "caraway/runtime/settings_reader.h"
#include "tools/cli_result.h"

namespace caraway {

struct EntryClient
{
  std::string mUrl;       // http://IP:PORT of an entry or of the balancer
  std::string mKey;       // caller's key
  std::string mAuthority; // PEM file, for https
};

CliResult
RunBatchCommand(Loop& aLoop,
                const EntryClient& aClient,
                SettingsReader& aReader);

} // namespace caraway
