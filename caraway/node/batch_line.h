#pragma once
// The lines of batch files and the requests made of them.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/node/node_batch_state.h"

namespace caraway {

struct BatchLine
{
  std::string mCustomId;
  std::string mUrl;        // path at the target
  std::string mBody;       // request JSON
  uint32_t mPrompt = 0;    // tokens, estimate
  uint32_t mOutput = 0;    // tokens, estimate
  bool mCanStream = false; // one plain text answer, so it may be streamed
  bool mRaw = false;       // headers and a body of any kind
  Headers mHeaders;        // raw lines only
};

// Parses {"custom_id","method","url","body"}, or a raw line:
// {"custom_id","url","headers":{},"body_base64","tokens"}. aEndpoint is the
// path that all lines of a file share, or the host of a routed job; only the
// latter has raw lines. The message of an error says what to mend; such a line
// can never be done.
absl::StatusOr<BatchLine>
ParseBatchLine(std::string_view aLine, std::string_view aEndpoint);

// The request body of a task: streamed if so planned, and with the text so far
// where the engine resumes.
std::string
RequestBody(const BatchTask& aTask, bool aResume);

// Takes SSE bytes in; the task's text, usage and end mark follow.
// Returns the number of text events.
uint32_t
ParseStreamBytes(BatchTask& aTask, std::string_view aBytes);

// The response JSON of a streamed task, as if it had been asked for plainly.
std::string
StreamedAnswer(const BatchTask& aTask);

// A line of the output file for a raw item: {"custom_id","output"}.
std::string
RawOutputLine(const BatchTask& aTask);

// A line of the output file: the response as JSON text, or an error.
std::string
OutputLine(const BatchTask& aTask, std::string_view aAnswer);

std::string
ErrorLine(const BatchTask& aTask,
          std::string_view aCode,
          std::string_view aMessage);

} // namespace caraway
