// Fuzzes the decoder of the control state in a snapshot.
#include "caraway/control/command.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(input, DecodeControlState, EncodeControlState);
  return 0;
}
