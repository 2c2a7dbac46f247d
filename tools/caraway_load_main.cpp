// caraway-load: generates load on entries and measures how it is served.

#include <algorithm>
#include <fstream>
#include <iostream>

#include "tools/control_client.h"
#include "tools/load_settings.h"

using namespace caraway;

namespace {

bool
WriteFile(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return true;
  }
  std::ofstream file(aPath, std::ios::binary);
  file << aText << '\n';
  file.close();
  if (!file) {
    std::cerr << "cannot write '" << aPath
              << "'; name a file in a folder that you may write to\n";
  }
  return static_cast<bool>(file);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SettingsReader reader(kLoadUsage, "CARAWAY_LOAD", aCount, aArguments);
  LoadSettings settings = ReadLoadSettings(reader);
  std::vector<LoadArrival> plan;
  if (settings.mUseTrace) {
    const auto trace = ParseLoadTrace(
      settings.mTrace, settings.mResult.mWorkspaces, settings.mPlan.mMaxCount);
    if (!trace.ok()) {
      std::cerr << trace.status().message() << '\n';
      return 2;
    }
    plan = *trace;
  } else {
    plan = MakeLoadPlan(settings.mPlan);
  }
  settings.mRun.mCall.mRun = NewOperationId();
  Loop loop;
  LoadResult& result = settings.mResult;
  RunLoad(loop, settings.mRun, plan, result);
  std::cout << FormatLoadTable(result);
  const bool json = settings.mJsonFile.empty() ||
                    WriteFile(settings.mJsonFile, FormatLoadJson(result));
  const bool html = settings.mHtmlFile.empty() ||
                    WriteFile(settings.mHtmlFile, FormatLoadHtml(result));
  const auto anyIs = [&](LoadOutcome aOutcome) {
    return std::any_of(
      result.mRecords.begin(), result.mRecords.end(), [&](const auto& aRecord) {
        return aRecord.mOutcome == aOutcome;
      });
  };
  const bool good = anyIs(LoadOutcome::eOk) && !anyIs(LoadOutcome::eWrong);
  return json && html && good ? 0 : 1;
}
