// Parsing and formatting of batch file lines.

#include "caraway/node/batch_line.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/base/json_text.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr uint32_t kDefaultOutput = 256; // tokens, if the request sets no limit
constexpr uint64_t kMaxOutput = 1000000;
constexpr size_t kBytesPerToken = 4; // typical for text

absl::Status
Invalid(std::string_view aWhat, std::string_view aRemedy)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, aRemedy);
}

uint32_t
ExpectedOutput(const Json& aBody)
{
  for (const char* field : { "max_completion_tokens", "max_tokens" }) {
    auto found = aBody.find(field);
    if (found != aBody.end() && found->is_number_unsigned()) {
      return static_cast<uint32_t>(
        std::min<uint64_t>(found->get<uint64_t>(), kMaxOutput));
    }
  }
  return kDefaultOutput;
}

// Returns false for requests whose streamed answer cannot be assembled here,
// for example with several choices, tool calls or log probabilities. They are
// sent without streaming.
bool
CanStream(const Json& aBody, std::string_view aUrl)
{
  if (aUrl != "/v1/chat/completions" && aUrl != "/v1/completions") {
    return false;
  }
  for (const char* field : { "stream",
                             "tools",
                             "functions",
                             "logprobs",
                             "top_logprobs",
                             "best_of",
                             "echo",
                             "audio",
                             "modalities",
                             "stream_options" }) {
    if (aBody.contains(field)) {
      return false;
    }
  }
  auto choices = aBody.find("n");
  const bool one = choices == aBody.end() || *choices == 1;
  auto prompt = aBody.find("prompt");
  return one && (prompt == aBody.end() || prompt->is_string());
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
IsChat(const BatchTask& aTask)
{
  return aTask.mPath == "/v1/chat/completions";
}

// Returns the text in one choice of an SSE event, or an empty string.
std::string
EventText(const Json& aChoice)
{
  auto delta = aChoice.find("delta");
  if (delta != aChoice.end() && delta->is_object()) {
    auto content = delta->find("content");
    return content != delta->end() && content->is_string()
             ? content->get<std::string>()
             : std::string();
  }
  auto text = aChoice.find("text");
  return text != aChoice.end() && text->is_string() ? text->get<std::string>()
                                                    : std::string();
}

uint32_t
ParseChoice(BatchTask& aTask, const Json& aChoice)
{
  auto finish = aChoice.find("finish_reason");
  if (finish != aChoice.end() && finish->is_string()) {
    aTask.mFinishReason = finish->get<std::string>();
  }
  const std::string text = EventText(aChoice);
  aTask.mText += text;
  return text.empty() ? 0 : 1;
}

uint32_t
ParseStreamEvent(BatchTask& aTask, std::string_view aData)
{
  if (aData == "[DONE]") {
    aTask.mStreamDone = true;
    return 0;
  }
  const Json json = ParseJson(aData);
  if (!json.is_object() || json.contains("error")) {
    aTask.mStreamError = true;
    return 0;
  }
  if (aTask.mAnswerId.empty() && json.contains("id") &&
      json["id"].is_string()) {
    aTask.mAnswerId = json["id"].get<std::string>();
  }
  if (json.contains("usage") && json["usage"].is_object()) {
    aTask.mUsage = Dump(json["usage"]);
  }
  auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return 0;
  }
  return ParseChoice(aTask, choices->front());
}

std::string
LineId(const BatchTask& aTask)
{
  return absl::StrCat(
    "batch_req_", aTask.mLease.mJob.mValue, "_", aTask.mIndex);
}

// Returns a string field, or an empty string if it is absent or not a string.
std::string
TextField(const Json& aJson, const char* aName)
{
  auto field = aJson.find(aName);
  return field != aJson.end() && field->is_string() ? field->get<std::string>()
                                                    : std::string();
}

absl::StatusOr<BatchLine>
ParseRawLine(const Json& aJson)
{
  BatchLine line;
  line.mRaw = true;
  line.mCustomId = TextField(aJson, "custom_id");
  line.mUrl = TextField(aJson, "url");
  auto tokens = aJson.find("tokens");
  if (tokens != aJson.end() && tokens->is_number_unsigned()) {
    line.mOutput = static_cast<uint32_t>(std::min<uint64_t>(
      tokens->get<uint64_t>(), std::numeric_limits<uint32_t>::max()));
  }
  auto headers = aJson.find("headers");
  if (headers != aJson.end() && headers->is_object()) {
    for (const auto& [name, value] : headers->items()) {
      if (value.is_string()) {
        line.mHeaders.emplace_back(name, value.get<std::string>());
      }
    }
  }
  auto parts = aJson.find("parts");
  if (parts != aJson.end() && parts->is_array()) {
    for (const Json& part : *parts) {
      if (part.is_number_unsigned() &&
          line.mPromptParts.size() < kMaxInputParts) {
        line.mPromptParts.emplace_back(part.get<uint64_t>());
      }
    }
  }
  auto body = aJson.find("body_base64");
  if (line.mUrl.empty() || !body->is_string() ||
      !absl::Base64Unescape(body->get<std::string>(), &line.mBody)) {
    return Invalid(
      "the raw line has no url, or its body_base64 is not valid base64",
      "set both fields");
  }
  return line;
}

} // namespace

absl::StatusOr<BatchLine>
ParseBatchLine(std::string_view aLine, std::string_view aEndpoint)
{
  const Json json = ParseJson(aLine);
  if (!json.is_object()) {
    return Invalid("the line is not a JSON object",
                   "write one object per line");
  }
  // Raw lines set their own path and headers, so they are only accepted in
  // routed jobs, whose lines the system writes itself. The endpoint of such a
  // job is a host.
  if (json.contains("body_base64") && !aEndpoint.starts_with('/')) {
    return ParseRawLine(json);
  }
  BatchLine line;
  auto id = json.find("custom_id");
  if (id != json.end() && id->is_string()) {
    line.mCustomId = id->get<std::string>();
  }
  auto method = json.find("method");
  if (method != json.end() && *method != "POST") {
    return Invalid("the line's method is not POST", "use POST");
  }
  auto url = json.find("url");
  line.mUrl = url != json.end() && url->is_string() ? url->get<std::string>()
                                                    : std::string(aEndpoint);
  if (line.mUrl != aEndpoint) {
    return Invalid("the line's url differs from the job's endpoint",
                   "use one endpoint for the whole file");
  }
  auto body = json.find("body");
  if (body == json.end() || !body->is_object()) {
    return Invalid("the line has no request body",
                   "put the request into \"body\"");
  }
  line.mBody = Dump(*body);
  line.mPrompt = static_cast<uint32_t>(line.mBody.size() / kBytesPerToken);
  line.mOutput = ExpectedOutput(*body);
  line.mCanStream = CanStream(*body, line.mUrl);
  return line;
}

std::string
RequestBody(const BatchTask& aTask, bool aResume)
{
  if (!aTask.mStreamed) {
    return aTask.mBody;
  }
  Json body = ParseJson(aTask.mBody);
  body["stream"] = true;
  body["stream_options"] = { { "include_usage", true } };
  if (aResume) {
    body["resume_from"] = aTask.mText;
  }
  return Dump(body);
}

uint32_t
ParseStreamBytes(BatchTask& aTask, std::string_view aBytes)
{
  uint32_t events = 0;
  aTask.mPending.append(aBytes);
  size_t begin = 0;
  for (size_t end = aTask.mPending.find('\n', begin); end != std::string::npos;
       end = aTask.mPending.find('\n', begin)) {
    std::string_view line(aTask.mPending.data() + begin, end - begin);
    begin = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.starts_with("data:")) {
      continue;
    }
    line.remove_prefix(5);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    events += ParseStreamEvent(aTask, line);
  }
  aTask.mPending.erase(0, begin);
  aTask.mTokens += events;
  return events;
}

std::string
StreamedAnswer(const BatchTask& aTask)
{
  const bool chat = IsChat(aTask);
  Json choice = { { "index", 0 },
                  { "finish_reason",
                    aTask.mFinishReason.empty() ? Json()
                                                : Json(aTask.mFinishReason) } };
  if (chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aTask.mText } };
  } else {
    choice["text"] = aTask.mText;
  }
  Json answer = { { "id", aTask.mAnswerId },
                  { "object", chat ? "chat.completion" : "text_completion" },
                  { "model", aTask.mLease.mModel.mValue },
                  { "choices", Json::array({ choice }) } };
  if (!aTask.mUsage.empty()) {
    answer["usage"] = ParseJson(aTask.mUsage);
  }
  return Dump(answer);
}

std::string
RawOutputLine(const BatchTask& aTask)
{
  std::string line =
    Dump(Json{ { "custom_id", aTask.mCustomId }, { "output", aTask.mText } });
  // Base64 writes three bytes in four.
  if (line.size() / 4 <= aTask.mText.size() / 3) {
    return line;
  }
  std::string encoded =
    Dump(Json{ { "custom_id", aTask.mCustomId },
               { "output_base64", absl::Base64Escape(aTask.mText) } });
  return encoded.size() < line.size() ? encoded : line;
}

std::optional<std::string>
OutputOfRawLine(const Json& aLine)
{
  if (!aLine.is_object()) {
    return std::nullopt;
  }
  if (aLine.contains("output")) {
    return TextField(aLine, "output");
  }
  const auto encoded = aLine.find("output_base64");
  std::string decoded;
  if (encoded == aLine.end() || !encoded->is_string() ||
      !absl::Base64Unescape(encoded->get_ref<const std::string&>(), &decoded)) {
    return std::nullopt;
  }
  return decoded;
}

bool
IsWholeJson(std::string_view aAnswer)
{
  return Json::accept(aAnswer);
}

std::string
OutputLine(const BatchTask& aTask, std::string_view aAnswer)
{
  Json body = ParseJson(aAnswer);
  if (body.is_discarded()) {
    body = std::string(aAnswer);
  }
  return Dump(Json{ { "id", LineId(aTask) },
                    { "custom_id", aTask.mCustomId },
                    { "response",
                      { { "status_code", aTask.mStatus },
                        { "request_id", LineId(aTask) },
                        { "body", std::move(body) } } },
                    { "error", nullptr } });
}

std::string
ErrorLine(const BatchTask& aTask,
          std::string_view aCode,
          std::string_view aMessage)
{
  return Dump(Json{ { "id", LineId(aTask) },
                    { "custom_id", aTask.mCustomId },
                    { "response", nullptr },
                    { "error",
                      { { "code", std::string(aCode) },
                        { "message", std::string(aMessage) } } } });
}

} // namespace caraway
