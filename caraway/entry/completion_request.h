#pragma once
// Checks the body of a completion request and reads what dispatch needs.

#include <string>

#include "absl/status/statusor.h"
#include "caraway/entry/request_state.h"

namespace caraway {

enum class CompletionKind : uint8_t
{
  eChat, // "messages"
  eText, // "prompt"
};

// Fills model, stream, token estimates and prefix of aCall.
absl::Status
ReadCompletion(CompletionKind aKind,
               const std::string& aBody,
               TargetCall& aCall);

// The model named in one line of a batch input file.
absl::StatusOr<ModelId>
ModelOfBatchLine(const std::string& aLine);

} // namespace caraway
