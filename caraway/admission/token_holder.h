#pragma once
// The tokens that an entry holds, and when it asks for more.

#include <optional>
#include <vector>

#include "caraway/admission/token_holder_state.h"
#include "caraway/config/contract.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

enum class AdmitVerdict : uint8_t
{
  eAdmitted, // one token was spent
  eAsk,      // hold the request; an ask goes out with NextGrantRequest
  eRefused,  // the grantor said that the workspace is above its rate
};

struct Admission
{
  AdmitVerdict mVerdict = AdmitVerdict::eRefused;
  Duration mRetryAfter; // eRefused: when a token is expected
};

// A new session (epoch): all tokens are dropped, sequences start again.
void
StartTokenHolder(TokenHolder& aHolder,
                 MonoTime aNow,
                 const InstanceId& aEntry,
                 Epoch aEpoch);

// Admits one request, or says what to do. A request that got eAsk is tried
// again after each HandleGrantReply, with aAsked set.
Admission
TryAdmit(TokenHolder& aHolder,
         MonoTime aNow,
         const Contract& aContract,
         bool aAsked);

// A request admitted but proven not to have run gives its token back, unless
// the lease under which it was taken has ended.
void
ReturnToken(TokenHolder& aHolder, MonoTime aNow, const WorkspaceId& aWorkspace);

// The message to send now, if any: a new one, or a resend of the last one after
// a timeout. One request is in flight at a time.
std::optional<GrantRequest>
NextGrantRequest(TokenHolder& aHolder, MonoTime aNow);

void
HandleGrantReply(TokenHolder& aHolder, MonoTime aNow, const GrantReply& aReply);

// A new leader: report holdings at once.
void
HandleGrantorChange(TokenHolder& aHolder, MonoTime aNow);

// True if the grantor has answered since then.
inline bool
AnsweredSince(const TokenHolder& aHolder, MonoTime aTime)
{
  return aHolder.mRepliedAt >= aTime;
}

// False while the grantor does not answer or does not know yet what may be
// outstanding, so that no tokens are to be expected.
bool
AreGrantsExpected(const TokenHolder& aHolder, MonoTime aNow);

MonoTime
NextWakeup(const TokenHolder& aHolder);

} // namespace caraway
