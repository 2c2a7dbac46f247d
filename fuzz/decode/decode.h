#pragma once
// Shared by the libFuzzer targets of decoders. Each target feeds bytes from
// outside or from disk to decoders, which must refuse or accept them without a
// crash, undefined behaviour or an allocation far above the input.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace caraway {

// Ends the run; libFuzzer then keeps the input.
inline void
Require(bool aTrue, const char* aWhat)
{
  if (!aTrue) {
    std::fprintf(stderr, "broken: %s\n", aWhat);
    std::abort();
  }
}

// Whatever a decoder accepts must survive being encoded and decoded again.
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
