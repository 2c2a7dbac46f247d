#pragma once
// Parses input lines of batch files, builds requests from them and formats
// the lines of output files.

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/statusor.h"
#include "caraway/node/node_batch_state.h"

namespace caraway {

struct BatchLine
{
  std::string mCustomId;
  std::string mUrl;        // path at the target
  std::string mBody;       // request JSON
  uint32_t mPrompt = 0;    // estimated tokens
  uint32_t mOutput = 0;    // estimated tokens
  bool mCanStream = false; // a single text answer, may be requested as SSE
  bool mRaw = false;       // has its own headers and an arbitrary body
  Headers mHeaders;        // raw lines only
  // Raw lines only: parts of the prompt that other items may have as well.
  InputParts mPromptParts;
};

// Parses {"custom_id","method","url","body"}, or a raw line:
// {"custom_id","url","headers":{},"body_base64","tokens"}. aEndpoint is the
// path shared by all lines of a file, or the host of a routed job. Only routed
// jobs have raw lines. A line that fails to parse is a permanent failure; the
// error message says how to correct it.
absl::StatusOr<BatchLine>
ParseBatchLine(std::string_view aLine, std::string_view aEndpoint);

// Builds the request body of a task. Adds the streaming options if the task is
// streamed, and the text generated so far if aResume is set.
std::string
RequestBody(const BatchTask& aTask, bool aResume);

// Parses SSE bytes and updates the task's text, usage and end of stream.
// Returns the number of events that contained text.
uint32_t
ParseStreamBytes(BatchTask& aTask, std::string_view aBytes);

// Assembles the response JSON of a streamed task in the form of a response that
// is not streamed.
std::string
StreamedAnswer(const BatchTask& aTask);

// Text of a raw item that its output line holds whatever its characters.
constexpr size_t kMaxRawText = 544 * 1024; // bytes

// Formats the output line of a raw item: {"custom_id","output"}, or
// {"custom_id","output_base64"} if that is shorter, since JSON writes a
// character in up to six bytes.
std::string
RawOutputLine(const BatchTask& aTask);

// The output in a line of RawOutputLine; nullopt if it has none, since the item
// has failed.
std::optional<std::string>
OutputOfRawLine(const nlohmann::json& aLine);

// False for an answer that was cut off.
bool
IsWholeJson(std::string_view aAnswer);

// Formats the output line of an item: the response, or an error.
std::string
OutputLine(const BatchTask& aTask, std::string_view aAnswer);

std::string
ErrorLine(const BatchTask& aTask,
          std::string_view aCode,
          std::string_view aMessage);

} // namespace caraway
