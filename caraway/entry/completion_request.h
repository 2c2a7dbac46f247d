#pragma once
// Validates the body of a completion request and extracts the fields that
// dispatch needs.

#include <string>

#include "absl/status/statusor.h"
#include "caraway/entry/request_state.h"

namespace caraway {

enum class CompletionKind : uint8_t
{
  eChat, // "messages"
  eText, // "prompt"
};

// Sets the model, stream flag, token estimates and prefix hash of aCall.
absl::Status
ReadCompletion(CompletionKind aKind,
               const std::string& aBody,
               TargetCall& aCall);

// Returns the model named in one line of a batch input file.
absl::StatusOr<ModelId>
ModelOfBatchLine(const std::string& aLine);

} // namespace caraway
