#pragma once
// JSON messages exchanged between a target and its node.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/node/node_target.h"

namespace caraway {

// Parses the body of POST /announce. An error message names the invalid field
// and the expected value.
absl::StatusOr<Announcement>
ParseAnnouncement(std::string_view aBody);

struct TargetLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  bool mCold = false;
};

// Parses the response to GET /load.
absl::StatusOr<TargetLoad>
ParseLoad(std::string_view aBody);

// Response to POST /announce and to the health checks:
// {"node":..., "state":...}
std::string
AnnounceReplyBody(std::string_view aNode, std::string_view aState);

// Error response: {"error":{"message":...,"code":...}}
std::string
ErrorBody(std::string_view aCode, std::string_view aMessage);

// Request body of POST /admin/load and /admin/unload.
std::string
OrderBody(const ModelId& aModel, FencingToken aToken);

// Request body of POST /cancel.
std::string
CancelBody(const RequestId& aRequest);

} // namespace caraway
