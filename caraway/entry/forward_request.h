#pragma once
// Events: requests of callers, targets and operators as a host has decoded
// them, for deployments whose callers speak another dialect than the entry's
// own API. Answers of targets pass through unchanged.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/target.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// A request to be run by a target of its route's service.
struct ForwardRequest
{
  HttpCallId mCall;
  RequestId mId;    // the caller's; unique for each of its attempts
  std::string mKey; // empty: none came
  std::string mHost;
  std::string mMethod;
  std::string mPath;  // without the query
  std::string mQuery; // without '?'
  Headers mHeaders;   // to pass on
  std::string mBody;
  std::optional<Duration> mDeadline;    // the caller waits no longer
  std::optional<uint64_t> mResumeAfter; // id of the last event it received
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

// A call of an operator or caller that control answers.
struct ControlOrder
{
  HttpCallId mCall;
  CallBody mBody;
  // Calls about batch jobs name the workspace by key. The host of a route
  // selects the workspaces that may call; empty for operators.
  std::string mHost;
  std::string mKey;
};

// A batch job, whole. The limits follow from its route.
struct JobSubmission
{
  HttpCallId mCall;
  JobId mJob; // the caller's; a resend has the same
  std::string mHost;
  std::string mPath;
  std::string mKey;
  std::vector<JobItem> mItems;
  std::string mLines; // one input line for each item
};

// A target says that it lives, or that it leaves for good.
struct TargetHeartbeat
{
  HttpCallId mCall;
  Target mTarget;
  uint64_t mSequence = 0; // increases with each message of one start
};

struct TargetDeregistration
{
  HttpCallId mCall;
  TargetId mTarget;
  int64_t mStartedAt = 0; // 0: not said, the start that is known
};

// Is this entry ready for new connections?
struct ReadyQuery
{
  HttpCallId mCall;
};

// Action: the request is to a batch route. The host reads the job from it and
// hands it in as a JobSubmission.
struct ReadJobBody
{
  ForwardRequest mRequest;
};

// What an OrderReply answers.
enum class OrderTopic : uint8_t
{
  eTargetReport, // heartbeat or farewell
  eReplacePlan,
  eReadPlan,
  eSetZone,
  eRetire,
  eRetirement, // how far it is
  eSubmitJob,
  eReadResults,
  eReadItem,
  eEndJob,
};

// Action: the answer to a ControlOrder, a JobSubmission, a TargetHeartbeat or a
// TargetDeregistration.
struct OrderReply
{
  HttpCallId mCall;
  OrderTopic mKind = OrderTopic::eTargetReport;
  CallReplyBody mBody;
};

} // namespace caraway
