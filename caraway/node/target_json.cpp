// JSON messages exchanged between a target and its node.

#include "caraway/node/target_json.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/base/json_text.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNames = 64;        // models or services of one target
constexpr size_t kMaxNameBytes = 256;   // of each name
constexpr uint32_t kMaxCalls = 1000000; // bound of the counts in a load report

absl::Status
Invalid(std::string_view aField, std::string_view aExpected)
{
  return MakeError(ErrorKind::eInvalidArgument,
                   absl::StrCat("announcement field \"",
                                AbslView(aField),
                                "\" is missing or malformed"),
                   absl::StrCat("send ", AbslView(aExpected)));
}

std::string
ReadString(const Json& aObject, const char* aField)
{
  auto found = aObject.find(aField);
  if (found == aObject.end() || !found->is_string()) {
    return {};
  }
  const auto& text = found->get_ref<const std::string&>();
  return text.size() > kMaxNameBytes ? std::string() : text;
}

bool
ReadBool(const Json& aObject, const char* aField)
{
  auto found = aObject.find(aField);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

// Reads a list of names. Returns false if the field exists and is not a valid
// list; an absent field is an empty list.
template<class Id>
bool
ReadNames(const Json& aObject, const char* aField, std::vector<Id>& aOut)
{
  auto found = aObject.find(aField);
  if (found == aObject.end()) {
    return true;
  }
  if (!found->is_array() || found->size() > kMaxNames) {
    return false;
  }
  for (const Json& name : *found) {
    if (!name.is_string() || name.get_ref<const std::string&>().empty() ||
        name.get_ref<const std::string&>().size() > kMaxNameBytes) {
      return false;
    }
    aOut.emplace_back(name.get<std::string>());
  }
  return true;
}

uint32_t
ReadCount(const Json& aObject, const char* aField)
{
  auto found = aObject.find(aField);
  if (found == aObject.end() || !found->is_number_unsigned()) {
    return 0;
  }
  return static_cast<uint32_t>(
    std::min<uint64_t>(found->get<uint64_t>(), kMaxCalls));
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

absl::StatusOr<Announcement>
ParseAnnouncement(std::string_view aBody)
{
  const Json json = ParseJson(aBody);
  if (!json.is_object()) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "announcement is not a JSON object",
                     "send {\"target\", \"kind\", \"url\", \"start_id\", ...}");
  }
  Announcement out;
  out.mInfo.mId = TargetId(ReadString(json, "target"));
  out.mUrl = ReadString(json, "url");
  out.mStartId = ReadString(json, "start_id");
  const std::string kind = ReadString(json, "kind");
  if (out.mInfo.mId.Empty()) {
    return Invalid("target", "the target's name");
  }
  if (kind != "engine" && kind != "service") {
    return Invalid("kind", "\"engine\" or \"service\"");
  }
  if (!out.mUrl.starts_with("http://")) {
    return Invalid("url", "the target's base URL, http://ADDRESS:PORT");
  }
  if (out.mStartId.empty()) {
    return Invalid("start_id", "an id that is new at each start");
  }
  out.mInfo.mKind =
    kind == "engine" ? TargetKind::eEngine : TargetKind::eService;
  if (!ReadNames(json, "models", out.mInfo.mModels)) {
    return Invalid("models", "a list of at most 64 names");
  }
  if (!ReadNames(json, "services", out.mInfo.mServices)) {
    return Invalid("services", "a list of at most 64 names");
  }
  auto capabilities = json.find("capabilities");
  if (capabilities != json.end()) {
    if (!capabilities->is_object()) {
      return Invalid("capabilities", "an object of booleans");
    }
    out.mInfo.mCanResume = ReadBool(*capabilities, "resume");
    out.mInfo.mChecksFencing = ReadBool(*capabilities, "fencing");
    out.mCanCancel = ReadBool(*capabilities, "cancel");
  }
  return out;
}

absl::StatusOr<TargetLoad>
ParseLoad(std::string_view aBody)
{
  const Json json = ParseJson(aBody);
  if (!json.is_object()) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "load report is not a JSON object",
                     "answer {\"running\", \"waiting\", \"cold\"}");
  }
  return TargetLoad{ ReadCount(json, "running"),
                     ReadCount(json, "waiting"),
                     ReadBool(json, "cold") };
}

std::string
AnnounceReplyBody(std::string_view aNode, std::string_view aState)
{
  return Dump(
    Json{ { "node", std::string(aNode) }, { "state", std::string(aState) } });
}

std::string
ErrorBody(std::string_view aCode, std::string_view aMessage)
{
  return Dump(Json{ { "error",
                      { { "message", std::string(aMessage) },
                        { "code", std::string(aCode) } } } });
}

std::string
OrderBody(const ModelId& aModel, FencingToken aToken)
{
  return Dump(Json{ { "model", aModel.mValue }, { "token", aToken.mValue } });
}

std::string
CancelBody(const RequestId& aRequest)
{
  return Dump(Json{ { "request_id", aRequest.mValue } });
}

} // namespace caraway
