// Fuzzes the parsers of callers' multipart bodies and query strings. The first
// line of the input is the content type.
#include "caraway/entry/form.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  const size_t line = input.find('\n');
  if (line != std::string::npos) {
    (void)ParseMultipart(input.substr(0, line), input.substr(line + 1));
  }
  (void)ParseQuery(input);
  return 0;
}
