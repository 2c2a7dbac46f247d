// Hashes of input parts.

#include "caraway/poison/input_part.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace caraway {

namespace {

// Chains a length-prefixed field into the hash, so that fields cannot run into
// each other.
uint64_t
HashField(uint64_t aSeed, std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), aSeed + aText.size());
}

constexpr uint64_t kPromptSeed = 1;
constexpr uint64_t kWholeSeed = 2;

} // namespace

InputPartId
PromptPart(std::string_view aModel, std::string_view aPart)
{
  return InputPartId(HashField(HashField(kPromptSeed, aModel), aPart));
}

InputPartId
WholeInput(std::string_view aMethod,
           std::string_view aPath,
           std::string_view aBody)
{
  return InputPartId(
    HashField(HashField(HashField(kWholeSeed, aMethod), aPath), aBody));
}

uint64_t
HashOfParts(const InputParts& aParts)
{
  uint64_t hash = 0;
  for (const InputPartId part : aParts) {
    hash = XXH64(&part.mValue, sizeof(part.mValue), hash);
  }
  return hash;
}

std::string
FormatParts(const InputParts& aParts)
{
  return absl::StrJoin(
    aParts, ",", [](std::string* aOut, const InputPartId& aPart) {
      absl::StrAppend(aOut, absl::Hex(aPart.mValue, absl::kZeroPad16));
    });
}

} // namespace caraway
