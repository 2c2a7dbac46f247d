#pragma once
// The grantor of admission tokens, on the control leader.
//
// Invariant per workspace: level + outstanding <= burst at all times, where
// outstanding is an upper bound of the tokens given out and neither reported
// spent nor expired. Refill adds rate * time to the level and stops at burst -
// outstanding. So the sum admitted over any interval is at most rate * time +
// burst, whatever is lost, doubled or late.

#include "caraway/admission/grantor_state.h"
#include "caraway/config/config_view.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// This replica became leader: no bucket has tokens, and every registered entry
// may hold tokens until it reports or aConfigLease has run out.
void
StartGrantor(Grantor& aGrantor,
             MonoTime aNow,
             const ConfigView& aConfig,
             Duration aGrantLease,
             Duration aConfigLease);

// aRequest must come from a registered session (the caller checks the epoch).
GrantReply
HandleGrantRequest(Grantor& aGrantor,
                   MonoTime aNow,
                   const ConfigView& aConfig,
                   const GrantRequest& aRequest);

// A session ended; its tokens stay outstanding until their leases run out.
void
GrantorSessionEnded(Grantor& aGrantor, const InstanceId& aEntry, Epoch aEpoch);

} // namespace caraway
