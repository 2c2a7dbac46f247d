// Fuzzes the parsers of operators' JSON bodies.
#include "caraway/control/operator_parse.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  (void)ParseContract("workspace", input);
  (void)ParseRoute("route", input);
  (void)ParseKeyRequest(input);
  (void)ParseReplicaRequest(input);
  (void)ParseNumber("number", input);
  return 0;
}
