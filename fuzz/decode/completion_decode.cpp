// Fuzzes the parsers of callers' JSON bodies and batch lines.
#include "caraway/entry/completion_request.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  for (const auto kind : { CompletionKind::eChat, CompletionKind::eText }) {
    TargetCall call;
    (void)ReadCompletion(kind, input, call);
  }
  (void)ModelOfBatchLine(input);
  return 0;
}
