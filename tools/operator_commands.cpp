// Runs the operator commands through the operator API.

#include "tools/operator_commands.h"

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tools/status_text.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr int kConflict = 409;

// A request to the operator API, built from the flags.
struct Call
{
  std::string mMethod = "GET";
  std::string mPath;
  Json mBody;
};

std::string
ErrorText(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (body.is_object() && body.contains("error")) {
    const Json& error = body["error"];
    return absl::StrCat(error.value("message", "refused"),
                        "; ",
                        error.value("remedy", "see the control log"));
  }
  return aBody;
}

CliResult
ResultFromAnswer(const ControlCallResult& aAnswer)
{
  CliResult result;
  result.mJson = aAnswer.mBody;
  if (aAnswer.mStatus == 0) {
    result.mCode = ExitCode::eUnavailable;
    result.mText = "no control replica answered as leader; check --control and "
                   "that a majority of replicas runs";
    if (result.mJson.empty()) {
      result.mJson = R"({"error":{"code":"unavailable"}})";
    } else {
      absl::StrAppend(
        &result.mText, "; last answer: ", ErrorText(aAnswer.mBody));
    }
  } else if (aAnswer.mStatus >= 300) {
    result.mCode =
      aAnswer.mStatus == kConflict ? ExitCode::eConflict : ExitCode::eRefused;
    result.mText = ErrorText(aAnswer.mBody);
  }
  return result;
}

void
SetNumberFromFlag(SettingsReader& aReader,
                  Json& aBody,
                  const std::string& aFlag,
                  const std::string& aField)
{
  const std::string text = aReader.Optional(aFlag, "");
  if (text.empty()) {
    return;
  }
  uint64_t whole = 0;
  double number = 0;
  if (absl::SimpleAtoi(text, &whole)) {
    aBody[aField] = whole;
  } else if (absl::SimpleAtod(text, &number)) {
    aBody[aField] = number;
  } else {
    aReader.NoteError(absl::StrCat("--", aFlag),
                      absl::StrCat("'", text, "' is not a number"),
                      "give a decimal number");
  }
}

Json
SplitToJsonArray(const std::string& aText)
{
  Json list = Json::array();
  const std::vector<std::string> names =
    absl::StrSplit(aText, ',', absl::SkipEmpty());
  for (const std::string& name : names) {
    list.push_back(name);
  }
  return list;
}

Json
ContractBody(SettingsReader& aReader)
{
  Json body = Json::object();
  SetNumberFromFlag(aReader, body, "rate", "rate");
  SetNumberFromFlag(aReader, body, "burst", "burst");
  SetNumberFromFlag(aReader, body, "weight", "weight");
  SetNumberFromFlag(aReader, body, "batch-window", "batch_window_seconds");
  SetNumberFromFlag(aReader, body, "max-batch-items", "max_batch_items");
  const std::string latency = aReader.Optional("latency", "");
  if (!latency.empty()) {
    body["latency"] = latency;
  }
  body["models"] = SplitToJsonArray(aReader.Optional("models", ""));
  body["routes"] = SplitToJsonArray(aReader.Optional("routes", ""));
  return body;
}

Json
RouteBody(SettingsReader& aReader)
{
  return { { "method", aReader.Optional("method", "*") },
           { "path_prefix", aReader.Required("path") },
           { "service", aReader.Required("service") },
           { "idempotent", aReader.Flag("idempotent") },
           { "open", aReader.Flag("open") } };
}

Call
ContractCall(SettingsReader& aReader)
{
  const std::string path =
    "/admin/contracts/" + aReader.Optional("<workspace>", "");
  if (aReader.Flag("set")) {
    return { "PUT", path, ContractBody(aReader) };
  }
  if (aReader.Flag("withdraw")) {
    return { "DELETE", path, {} };
  }
  return aReader.Flag("list") ? Call{ "GET", "/admin/contracts", {} }
                              : Call{ "GET", path, {} };
}

Call
KeyCall(SettingsReader& aReader)
{
  const std::string workspace = aReader.Optional("<workspace>", "");
  if (aReader.Flag("create")) {
    return { "POST", "/admin/keys", { { "workspace", workspace } } };
  }
  if (aReader.Flag("withdraw")) {
    return { "DELETE", "/admin/keys/" + aReader.Optional("<key>", ""), {} };
  }
  return { "GET", "/admin/keys?workspace=" + workspace, {} };
}

Call
RouteCall(SettingsReader& aReader)
{
  const std::string path = "/admin/routes/" + aReader.Optional("<route>", "");
  if (aReader.Flag("set")) {
    return { "PUT", path, RouteBody(aReader) };
  }
  if (aReader.Flag("remove")) {
    return { "DELETE", path, {} };
  }
  return { "GET", "/admin/routes", {} };
}

Call
ReplicaCall(SettingsReader& aReader)
{
  Json body;
  for (const char* action : { "add", "promote", "remove" }) {
    if (aReader.Flag(action)) {
      body["action"] = action;
    }
  }
  SetNumberFromFlag(aReader, body, "<id>", "id");
  if (aReader.Flag("add")) {
    body["address"] = aReader.Optional("<address>", "");
  }
  return { "POST", "/admin/replicas", body };
}

Call
RolloutCall(SettingsReader& aReader)
{
  const std::string path =
    "/admin/rollouts/" + aReader.Optional("<service>", "");
  if (aReader.Flag("begin")) {
    Json body{ { "to", aReader.Required("to") } };
    SetNumberFromFlag(aReader, body, "duration", "duration_s");
    return { "PUT", path, body };
  }
  return { aReader.Flag("abort") ? "DELETE" : "GET", path, {} };
}

Call
CallFromFlags(SettingsReader& aReader)
{
  const std::string direction = aReader.Flag("out") ? "/out" : "/in";
  if (aReader.Flag("contract")) {
    return ContractCall(aReader);
  }
  if (aReader.Flag("key")) {
    return KeyCall(aReader);
  }
  if (aReader.Flag("route")) {
    return RouteCall(aReader);
  }
  if (aReader.Flag("replica")) {
    return ReplicaCall(aReader);
  }
  if (aReader.Flag("rollout")) {
    return RolloutCall(aReader);
  }
  if (aReader.Flag("zone")) {
    return { "POST",
             "/admin/zones/" + aReader.Optional("<zone>", "") + direction,
             {} };
  }
  if (aReader.Flag("input-block")) {
    return aReader.Flag("lift")
             ? Call{ "DELETE",
                     "/admin/input-blocks/" + aReader.Optional("<block>", ""),
                     {} }
             : Call{ "GET", "/admin/input-blocks", {} };
  }
  if (aReader.Flag("target")) {
    return { "POST",
             "/admin/targets/" + aReader.Optional("<target>", "") + direction,
             {} };
  }
  return { "GET", "/admin/status", {} };
}

// Waits until aRevision is in force everywhere. Returns false on timeout.
bool
WaitUntilInForce(Loop& aLoop,
                 const ControlClient& aClient,
                 uint64_t aRevision,
                 Duration aTimeout)
{
  const MonoTime giveUp = aLoop.Now() + aTimeout;
  while (aLoop.Now() < giveUp) {
    const ControlCallResult answer =
      CallControl(aLoop,
                  aClient,
                  "GET",
                  absl::StrCat("/admin/inforce?revision=", aRevision),
                  "",
                  "",
                  "");
    const Json body = Json::parse(answer.mBody, nullptr, false);
    if (body.is_object() && body.value("in_force", false)) {
      return true;
    }
    WaitOnLoop(aLoop, Millis(50));
  }
  return false;
}

std::string
FormatWriteResult(const Json& aBody)
{
  std::string text =
    absl::StrCat("accepted as revision ", aBody.value("revision", 0ULL));
  if (aBody.contains("key")) {
    absl::StrAppend(
      &text, "\nkey (shown once): ", aBody["key"].get<std::string>());
  }
  if (aBody.contains("id") && aBody["id"].is_string()) {
    absl::StrAppend(&text, "\nid: ", aBody["id"].get<std::string>());
  }
  return text;
}

} // namespace

CliResult
RunOperatorCommand(Loop& aLoop,
                   const ControlClient& aClient,
                   SettingsReader& aReader)
{
  constexpr Duration kInForceTimeout = Seconds(10);
  const Call call = CallFromFlags(aReader);
  aReader.Finish();
  const bool write = call.mMethod != "GET";
  const std::string operation =
    write ? aReader.Optional("operation-id", NewOperationId()) : "";
  const ControlCallResult answer =
    CallControl(aLoop,
                aClient,
                call.mMethod,
                call.mPath,
                call.mBody.is_null() ? "" : call.mBody.dump(),
                operation,
                aReader.Optional("expected-revision", ""));
  CliResult result = ResultFromAnswer(answer);
  if (result.mCode != ExitCode::eOk) {
    return result;
  }
  const Json body = Json::parse(answer.mBody, nullptr, false);
  if (!write) {
    result.mText =
      aReader.Flag("status") ? FormatStatus(answer.mBody) : body.dump(2);
    return result;
  }
  result.mText = FormatWriteResult(body);
  if (aReader.Flag("wait")) {
    if (!WaitUntilInForce(
          aLoop, aClient, body.value("revision", 0ULL), kInForceTimeout)) {
      result.mCode = ExitCode::eNotYet;
      result.mText += "\nnot yet in force everywhere; see caraway status";
      return result;
    }
    result.mText += "\nin force everywhere";
  }
  return result;
}

} // namespace caraway
