// Validates the bodies of completion requests.

#include "caraway/entry/completion_request.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "caraway/base/error.h"
#include "caraway/base/json_text.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr size_t kBytesPerToken = 4; // rough, for the scheduler's cost estimate
constexpr uint32_t kDefaultOutputTokens = 256; // if the caller sets no limit
constexpr uint32_t kMaxOutputTokens = 1 << 20;
constexpr size_t kPrefixBytes = 4 * 256; // at least 256 UTF-8 characters
constexpr size_t kMaxModelName = 256;

absl::Status
Invalid(const std::string& aWhat)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, "correct the body");
}

absl::Status
ReadModel(const Json& aBody, ModelId& aOut)
{
  auto model = aBody.find("model");
  if (model == aBody.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxModelName) {
    return Invalid("'model' must be the name of a model");
  }
  aOut = ModelId(model->get<std::string>());
  return absl::OkStatus();
}

absl::Status
ReadOutputTokens(const Json& aBody, uint32_t& aOut)
{
  aOut = kDefaultOutputTokens;
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    auto value = aBody.find(name);
    if (value == aBody.end() || value->is_null()) {
      continue;
    }
    if (!value->is_number_unsigned() || value->get<uint64_t>() == 0) {
      return Invalid(std::string("'") + name + "' must be a positive integer");
    }
    aOut = static_cast<uint32_t>(
      std::min<uint64_t>(value->get<uint64_t>(), kMaxOutputTokens));
  }
  return absl::OkStatus();
}

// Appends the text of a message, whose content is a string or an array of parts
// with "text".
absl::Status
AppendContent(const Json& aMessage, std::string& aText)
{
  auto content = aMessage.find("content");
  if (content == aMessage.end() || content->is_null()) {
    return absl::OkStatus(); // messages with tool calls may have no content
  }
  if (content->is_string()) {
    aText += content->get_ref<const std::string&>();
    return absl::OkStatus();
  }
  if (!content->is_array()) {
    return Invalid("'content' must be a string or an array of parts");
  }
  for (const Json& part : *content) {
    if (!part.is_object()) {
      return Invalid("each part of 'content' must be an object");
    }
    auto text = part.find("text");
    if (text != part.end() && text->is_string()) {
      aText += text->get_ref<const std::string&>();
    }
  }
  return absl::OkStatus();
}

absl::Status
ReadMessages(const Json& aBody, std::string& aText)
{
  auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return Invalid("'messages' must be an array with at least one message");
  }
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return Invalid("each message must be an object with a 'role'");
    }
    // The prefix includes the role, so that equal texts with different roles
    // have different prefixes.
    if (aText.size() < kPrefixBytes) {
      aText += message["role"].get_ref<const std::string&>() + ":";
    }
    if (absl::Status status = AppendContent(message, aText); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
ReadPrompt(const Json& aBody, std::string& aText)
{
  auto prompt = aBody.find("prompt");
  if (prompt == aBody.end() || !(prompt->is_string() || prompt->is_array()) ||
      prompt->empty()) {
    return Invalid("'prompt' must be a string or an array");
  }
  aText = prompt->is_string() ? prompt->get<std::string>() : prompt->dump();
  return absl::OkStatus();
}

} // namespace

absl::Status
ReadCompletion(CompletionKind aKind,
               const std::string& aBody,
               TargetCall& aCall)
{
  const Json body = ParseJson(aBody);
  if (body.is_discarded() || !body.is_object()) {
    return Invalid("the body is not a JSON object");
  }
  if (absl::Status status = ReadModel(body, aCall.mModel); !status.ok()) {
    return status;
  }
  auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return Invalid("'stream' must be true or false");
    }
    aCall.mStream = stream->get<bool>();
  }
  if (absl::Status status = ReadOutputTokens(body, aCall.mOutputTokens);
      !status.ok()) {
    return status;
  }
  std::string text;
  absl::Status status = aKind == CompletionKind::eChat
                          ? ReadMessages(body, text)
                          : ReadPrompt(body, text);
  aCall.mPrefix = PrefixHash(text);
  aCall.mPromptTokens = static_cast<uint32_t>(text.size() / kBytesPerToken) + 1;
  return status;
}

absl::StatusOr<ModelId>
ModelOfBatchLine(const std::string& aLine)
{
  const Json line = ParseJson(aLine);
  if (line.is_discarded() || !line.is_object() || !line.contains("body") ||
      !line["body"].is_object()) {
    return Invalid("the first line of the input file is not a request with a "
                   "'body'");
  }
  ModelId model;
  if (absl::Status status = ReadModel(line["body"], model); !status.ok()) {
    return status;
  }
  return model;
}

} // namespace caraway
