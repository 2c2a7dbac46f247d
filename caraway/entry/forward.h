#pragma once
// Acceptance of forwarded requests: finds the route, checks the key and the
// limits.

#include "absl/status/statusor.h"
#include "caraway/entry/entry_step.h"

namespace caraway {

// Returns the workspace that the serving plan assigns the key to.
absl::StatusOr<WorkspaceId>
WorkspaceOfKey(const ConfigView& aConfig, const std::string& aKey);

// Processes the request, or holds it if no configuration is known yet.
void
HandleForwardRequest(EntryStep& aStep, ForwardRequest aRequest);

// Accepts or refuses a request that was received at aReceivedAt.
void
ProcessForwardRequest(EntryStep& aStep,
                      ForwardRequest aRequest,
                      MonoTime aReceivedAt);

// True if the request needs a token of its workspace's rate.
bool
NeedsToken(const Entry& aEntry, const CallerRequest& aRequest);

// True if a load balancer may send new connections to this entry.
bool
IsReady(const Entry& aEntry, MonoTime aNow);

} // namespace caraway
