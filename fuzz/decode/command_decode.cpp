// Fuzzes the decoder of commands in the replicated log.
#include "caraway/control/command.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(input, DecodeCommand, EncodeCommand);
  return 0;
}
