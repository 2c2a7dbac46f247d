// Fuzzes the parsers of target responses and batch lines at a node.
#include "caraway/node/batch_line.h"
#include "caraway/node/target_json.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  (void)ParseAnnouncement(input);
  (void)ParseLoad(input);
  (void)ParseBatchLine(input, "/v1/chat/completions");
  (void)ParseBatchLine(input, "host");

  // A stream must yield the same text however it is split.
  BatchTask whole;
  (void)ParseStreamBytes(whole, input);
  BatchTask cut;
  for (const char byte : input) {
    (void)ParseStreamBytes(cut, std::string_view(&byte, 1));
  }
  Require(whole.mText == cut.mText && whole.mStreamDone == cut.mStreamDone,
          "cuts change a stream");
  (void)StreamedAnswer(whole);
  return 0;
}
