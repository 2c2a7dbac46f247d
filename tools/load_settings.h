#pragma once
// Settings of caraway-load, from flags and environment variables.

#include "caraway/runtime/settings_reader.h"
#include "tools/load_run.h"

namespace caraway {

struct LoadSettings
{
  LoadPlanSettings mPlan;
  LoadRunSettings mRun;
  LoadResult mResult; // with workspaces, seed, arrivals and marks set
  std::string mTrace; // contents of the trace file, if mUseTrace
  bool mUseTrace = false;
  std::string mJsonFile;
  std::string mHtmlFile;
};

extern const char* const kLoadUsage;

// On invalid settings, prints a message for each and exits with code 2.
LoadSettings
ReadLoadSettings(SettingsReader& aReader);

// Returns true for http(s)://IP:PORT where IP is in 127.0.0.0/8 or is ::1.
bool
IsLoopbackUrl(const std::string& aUrl);

} // namespace caraway
