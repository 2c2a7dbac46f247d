// Fuzzes the decoder of the ledger in a snapshot.
#include "caraway/ledger/ledger.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(input, DecodeLedger, EncodeLedger);
  return 0;
}
