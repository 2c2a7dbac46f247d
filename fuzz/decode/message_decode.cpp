// Fuzzes the decoders of messages between processes and of configuration
// changes that are stored separately.
#include "caraway/wire/messages.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(input, DecodeMessage, EncodeMessage);
  CheckRoundTrip(input, DecodeChange, EncodeChange);
  return 0;
}
