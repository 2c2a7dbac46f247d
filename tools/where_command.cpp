// Asks an entry where a request would go, and prints its answer.

#include "tools/where_command.h"

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

// The value of a query, with all but plain characters escaped.
std::string
EscapeQuery(const std::string& aText)
{
  constexpr const char* kDigits = "0123456789ABCDEF";
  constexpr int kDigitBits = 4;
  constexpr int kDigitMask = 15;
  std::string escaped;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) ||
        std::string_view("-._~,:").find(c) != std::string_view::npos) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kDigits[byte >> kDigitBits];
      escaped += kDigits[byte & kDigitMask];
    }
  }
  return escaped;
}

std::string
FiguresText(const Json& aFigures)
{
  std::vector<std::string> figures;
  for (const auto& [name, value] : aFigures.items()) {
    figures.push_back(absl::StrCat(
      name, "=", value.is_string() ? value.get<std::string>() : value.dump()));
  }
  return absl::StrJoin(figures, " ");
}

} // namespace

std::string
WhereText(const std::string& aJson)
{
  const Json report = Json::parse(aJson, nullptr, false);
  if (!report.is_object() || !report.contains("admission")) {
    return aJson;
  }
  const auto text = [](const Json& aObject, const char* aField) {
    return aObject.value(aField, std::string());
  };
  const Json& admission = report["admission"];
  std::vector<std::string> lines{ absl::StrCat("admission: ",
                                               text(admission, "verdict"),
                                               ", ",
                                               text(admission, "reason")) };
  const Json waiting = report.value("waiting", Json::object());
  lines.push_back(absl::StrCat("waiting here: ",
                               waiting.value("for_tokens", 0),
                               " for tokens, ",
                               waiting.value("for_targets", 0),
                               " for targets"));
  for (const Json& service : report.value("services", Json::array())) {
    lines.push_back(absl::StrCat("service ",
                                 text(service, "service"),
                                 ", weight ",
                                 service.value("weight", 1)));
    for (const Json& target : service.value("candidates", Json::array())) {
      lines.push_back(
        absl::StrCat("  ",
                     text(target, "target"),
                     " in ",
                     text(target, "zone"),
                     ": ",
                     text(target, "reason"),
                     "; ",
                     FiguresText(target.value("figures", Json::object()))));
    }
    for (const Json& target : service.value("excluded", Json::array())) {
      lines.push_back(absl::StrCat(
        "  not ", text(target, "target"), ": ", text(target, "reason")));
    }
  }
  return absl::StrJoin(lines, "\n");
}

CliResult
RunWhereCommand(Loop& aLoop,
                const EntryClient& aClient,
                SettingsReader& aReader)
{
  std::vector<std::string> query;
  for (const char* name : { "workspace", "route", "model", "parts" }) {
    const std::string value = aReader.Optional(name, "");
    if (!value.empty()) {
      query.push_back(absl::StrCat(name, "=", EscapeQuery(value)));
    }
  }
  FetchRequest request;
  request.mUrl =
    absl::StrCat(aClient.mUrl, "/caraway/where?", absl::StrJoin(query, "&"));
  request.mAuthority = aClient.mAuthority;
  if (!aClient.mKey.empty()) {
    request.mHeaders.emplace_back("Authorization", "Bearer " + aClient.mKey);
  }
  const absl::StatusOr<FetchAnswer> answer = FetchAndWait(aLoop, request);
  CliResult result;
  if (!answer.ok()) {
    result.mCode = ExitCode::eUnavailable;
    result.mText = std::string(answer.status().message());
    result.mJson = Json{
      { "error", { { "code", "unavailable" }, { "message", result.mText } } }
    }.dump();
    return result;
  }
  constexpr int kOk = 200;
  result.mCode = answer->mStatus == kOk ? ExitCode::eOk : ExitCode::eRefused;
  result.mJson = answer->mBody;
  result.mText = WhereText(answer->mBody);
  return result;
}

} // namespace caraway
