#pragma once
// Internal: calls of callers, judged by the configuration of control. Changes
// of batch jobs are judged at the place of the log where they are applied.

#include <optional>

#include "caraway/control/command.h"

namespace caraway {

// Why the key does not allow a call for the workspace, if it does not. A call
// without a key is allowed.
std::optional<CallFailed>
CheckCallerKey(const ConfigView& aView,
               const CallerKey& aKey,
               const WorkspaceId& aWorkspace);

// Creates the job as key, route and contract have it now, or refuses it. A job
// that exists already is acknowledged again, also if its route is gone.
CallReplyBody
ApplySubmitJob(ControlState& aState,
               LogIndex aIndex,
               int64_t aUnixSeconds,
               const ControlCall& aCall,
               const SubmitJob& aSubmit,
               std::vector<LedgerEffect>& aEffects);

CallReplyBody
ApplyCancelJobByKey(ControlState& aState,
                    LogIndex aIndex,
                    int64_t aUnixSeconds,
                    const ControlCall& aCall,
                    const CancelJobByKey& aCancel,
                    std::vector<LedgerEffect>& aEffects);

} // namespace caraway
