#pragma once
// Settings of caraway-load from flags and environment.

#include "caraway/runtime/settings_reader.h"
#include "tools/load_run.h"

namespace caraway {

struct LoadSettings
{
  LoadPlanSettings mPlan;
  LoadRunSettings mRun;
  LoadResult mResult; // names, seed and marks filled in
  std::string mTrace; // contents, empty = arrivals from the seed
  bool mUseTrace = false;
  std::string mJsonFile;
  std::string mHtmlFile;
};

extern const char* const kLoadUsage;

// Exits with 2 and a message for each wrong setting.
LoadSettings
ReadLoadSettings(SettingsReader& aReader);

// True for http(s)://IP:PORT with an address in 127.0.0.0/8 or ::1.
bool
IsLoopbackUrl(const std::string& aUrl);

} // namespace caraway
