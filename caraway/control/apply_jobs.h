#pragma once
// Internal: calls of callers about batch jobs, judged by the configuration at
// the place of the log where they are applied.

#include "caraway/control/command.h"

namespace caraway {

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
