#pragma once
// Intake of forwarded requests: route, key, limits.

#include "absl/status/statusor.h"
#include "caraway/entry/entry_step.h"

namespace caraway {

// The workspace that holds the key under the serving plan.
absl::StatusOr<WorkspaceId>
WorkspaceOfKey(const ConfigView& aConfig, const std::string& aKey);

void
HandleForwardRequest(EntryStep& aStep, ForwardRequest aRequest);

// The same for a request that came at aReceivedAt: takes or refuses it now.
void
ProcessForwardRequest(EntryStep& aStep,
                      ForwardRequest aRequest,
                      MonoTime aReceivedAt);

// True if the request spends a token of its workspace's rate.
bool
NeedsToken(const Entry& aEntry, const CallerRequest& aRequest);

// True while new connections are welcome.
bool
IsReady(const Entry& aEntry, MonoTime aNow);

} // namespace caraway
