// Searches log files for the decisions about one request.

#include "tools/explain_command.h"

#include <algorithm>
#include <fstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace caraway {

CliResult
ExplainRequest(const std::string& aRequest,
               const std::vector<std::string>& aLogFiles)
{
  const std::string keyValue = absl::StrCat(" request=", aRequest, " ");
  const std::string json = absl::StrCat("\"request\":\"", aRequest, "\"");
  std::vector<std::string> lines;
  for (const std::string& path : aLogFiles) {
    std::ifstream file(path);
    if (!file) {
      return { ExitCode::eUsage,
               R"({"error":{"code":"invalid_argument"}})",
               absl::StrCat(
                 "cannot read '", path, "'; give the daemons' log files") };
    }
    std::string line;
    while (std::getline(file, line)) {
      if (absl::StrCat(line, " ").find(keyValue) != std::string::npos ||
          line.find(json) != std::string::npos) {
        lines.push_back(line);
      }
    }
  }
  // Every line starts with a timestamp, so sorting by text sorts by time.
  std::sort(lines.begin(), lines.end());
  CliResult result;
  result.mText =
    lines.empty()
      ? "no log line contains this request id; check the id and the "
        "log files"
      : absl::StrJoin(lines, "\n");
  result.mCode = lines.empty() ? ExitCode::eRefused : ExitCode::eOk;
  result.mJson =
    nlohmann::json{ { "request", aRequest }, { "lines", lines } }.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return result;
}

} // namespace caraway
