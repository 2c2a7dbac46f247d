#pragma once
// Helpers shared by the libFuzzer targets. Each target passes arbitrary bytes,
// as they could come from a peer or from disk, to decoders, which must accept
// or reject them without a crash, undefined behaviour or an allocation far
// larger than the input.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace caraway {

// Aborts the run if aTrue is false; libFuzzer then saves the input.
inline void
Require(bool aTrue, const char* aWhat)
{
  if (!aTrue) {
    std::fprintf(stderr, "broken: %s\n", aWhat);
    std::abort();
  }
}

// Checks that a value that the decoder accepts is unchanged after being encoded
// and decoded again.
template<class Decode, class Encode>
void
CheckRoundTrip(std::string_view aInput, Decode aDecode, Encode aEncode)
{
  const auto first = aDecode(aInput);
  if (!first.ok()) {
    return;
  }
  const std::string bytes = aEncode(*first);
  const auto second = aDecode(bytes);
  Require(second.ok(), "encoded bytes are refused");
  Require(aEncode(*second) == bytes, "a round trip changes the value");
}

} // namespace caraway

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize);
