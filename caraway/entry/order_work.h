#pragma once
// A call that control answers, in one or more steps.

#include <string>

#include "caraway/entry/forward_request.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

struct OrderWork
{
  OrderTopic mKind = OrderTopic::eTargetReport;
  bool mCreateJobSent = false; // sent, and a lost answer leaves it open
  // Submission of a batch job: the input goes first.
  FileId mFile;
  std::string mLines;
  uint64_t mStored = 0; // bytes
  CreateJob mCreate;
};

} // namespace caraway
