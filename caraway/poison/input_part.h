#pragma once
// Parts of a request's input, by which requests that crash their targets are
// recognized. Two requests that share a part have the same id in common.

#include <string_view>
#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

// 64-bit hash of a prompt part under its model, or of a whole input.
using InputPartId = NumberId<struct InputPartTag>;
using InputParts = std::vector<InputPartId>;

// Limit of parts that are kept of one request.
constexpr size_t kMaxInputParts = 16;

// All parts in their order; 0 if there are none.
uint64_t
HashOfParts(const InputParts& aParts);

InputPartId
PromptPart(std::string_view aModel, std::string_view aPart);

// The input as a whole; aPath with its query. Equal for requests that differ
// only in their headers, such as a caller's retry.
InputPartId
WholeInput(std::string_view aMethod,
           std::string_view aPath,
           std::string_view aBody);

// Parts separated by commas, in hexadecimal, for logs and operators.
std::string
FormatParts(const InputParts& aParts);

} // namespace caraway
