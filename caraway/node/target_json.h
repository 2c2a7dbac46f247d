#pragma once
// The JSON that a target exchanges with its node.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/node/node_target.h"

namespace caraway {

// POST /announce. The message of an error names the field and the remedy.
absl::StatusOr<Announcement>
ParseAnnouncement(std::string_view aBody);

struct TargetLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  bool mCold = false;
};

// Answer of GET /load.
absl::StatusOr<TargetLoad>
ParseLoad(std::string_view aBody);

// {"node":..., "state":...}
std::string
AnnounceReplyBody(std::string_view aNode, std::string_view aState);

// {"error":{"message":...,"code":...}}
std::string
ErrorBody(std::string_view aCode, std::string_view aMessage);

// Body of POST /admin/load and /admin/unload.
std::string
OrderBody(const ModelId& aModel, FencingToken aToken);

// Body of POST /cancel.
std::string
CancelBody(const RequestId& aRequest);

} // namespace caraway
