#pragma once
// Events for hosts whose callers, targets and operators speak another protocol
// than the entry's own API: requests as the host has decoded them. Answers of
// targets are relayed unchanged.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/target.h"
#include "caraway/poison/input_part.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// A request for a target of its route's service.
struct ForwardRequest
{
  HttpCallId mCall;
  RequestId mId;    // chosen by the caller; unique for each of its tries
  std::string mKey; // empty: none was sent
  std::string mHost;
  std::string mMethod;
  std::string mPath;  // without the query
  std::string mQuery; // without '?'
  Headers mHeaders;   // to be forwarded
  std::string mBody;
  std::optional<Duration> mDeadline;    // how long the caller waits
  std::optional<uint64_t> mResumeAfter; // id of the last event it received
  // With mResumeAfter: its earlier request that brought the first event.
  RequestId mResumes;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  // Parts of the prompt that other requests may have as well.
  InputParts mPromptParts;
  uint32_t mSharedTokens = 0; // of these parts
};

// A call by an operator or caller that control answers.
struct ControlOrder
{
  HttpCallId mCall;
  CallBody mBody;
  // Calls about batch jobs identify the workspace by key. The host of a route
  // determines which workspaces may call. Both are empty for operators.
  std::string mHost;
  std::string mKey;
};

// A complete batch job. Its limits come from its route.
struct JobSubmission
{
  HttpCallId mCall;
  JobId mJob; // chosen by the caller; the same when it resends the job
  std::string mHost;
  std::string mPath;
  std::string mKey;
  std::vector<JobItem> mItems;
  std::string mLines; // one input line for each item
};

// A target reports that it is alive, or that it is draining.
struct TargetHeartbeat
{
  HttpCallId mCall;
  Target mTarget;
  uint64_t mSequence = 0; // increases with each heartbeat of one start
};

// A target reports that it leaves for good.
struct TargetDeregistration
{
  HttpCallId mCall;
  TargetId mTarget;
  ServiceId mService;     // empty: not given
  int64_t mStartedAt = 0; // 0: not given; the latest known start is meant
};

// Asks whether this entry is ready for new connections.
struct ReadyQuery
{
  HttpCallId mCall;
};

// An operator asks where a request or job would go now, see entry/where.h.
struct WhereQuery
{
  HttpCallId mCall;
  WorkspaceId mWorkspace; // empty: of a route without a key
  RouteId mRoute;         // empty: mModel is asked for
  ModelId mModel;
  InputParts mParts; // of the prompt; requests with the same ones go together
};

// Action: the request is for a batch route. The host parses the job from its
// body and passes it back as a JobSubmission.
struct ReadJobBody
{
  ForwardRequest mRequest;
};

// The kind of call that an OrderReply answers.
enum class OrderTopic : uint8_t
{
  eTargetReport, // heartbeat or deregistration
  eReplacePlan,
  eReadPlan,
  eSetZone,
  eRetire,
  eRetirement, // progress of a retirement
  eSubmitJob,
  eReadResults,
  eReadItem,
  eEndJob,
  eBeginRollout,
  eRollout, // progress of a roll-out
};

// Action: the reply to a ControlOrder, a JobSubmission, a TargetHeartbeat or a
// TargetDeregistration.
struct OrderReply
{
  HttpCallId mCall;
  OrderTopic mKind = OrderTopic::eTargetReport;
  CallReplyBody mBody;
  Duration mRetryAfter; // with CallFailed; 0: the default of its kind
};

} // namespace caraway
