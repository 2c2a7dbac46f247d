#pragma once
// State of a request that control answers, which takes one or more control
// calls.

#include <cstdint>
#include <string>

#include "caraway/entry/forward_request.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// The lines that an order leaves in the log.
enum class OrderLog : uint8_t
{
  eEnd, // how it ended
  eNone,
};

struct OrderWork
{
  OrderTopic mKind = OrderTopic::eTargetReport;
  OrderLog mLog = OrderLog::eEnd;
  // If true, the job may exist although no reply came: the outcome is unknown.
  bool mSubmitted = false;
  // Submission of a batch job: the input file is stored before the job is
  // created.
  FileId mFile;         // input file; empty if this is not a job submission
  std::string mLines;   // content of the input file
  uint64_t mStored = 0; // bytes of mLines sent
  SubmitJob mSubmit;
};

} // namespace caraway
