#pragma once
// The token holder of an entry: spends the tokens that the grantor issued and
// requests more.

#include <optional>
#include <vector>

#include "caraway/admission/token_holder_state.h"
#include "caraway/config/contract.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

enum class AdmitVerdict : uint8_t
{
  eAdmitted, // one token was spent
  eAsk,      // put the request on hold; NextGrantRequest asks for a token
  eRefused,  // by the last grant reply, the workspace is above its rate
};

struct Admission
{
  AdmitVerdict mVerdict = AdmitVerdict::eRefused;
  Duration mRetryAfter; // eRefused: when a token is expected
};

// Starts a new session (epoch): drops all tokens and restarts the sequence.
void
StartTokenHolder(TokenHolder& aHolder,
                 MonoTime aNow,
                 const InstanceId& aEntry,
                 Epoch aEpoch);

// Admits one request, puts it on hold or refuses it. A request that got eAsk
// must be tried again after each HandleGrantReply, with aAsked set.
Admission
TryAdmit(TokenHolder& aHolder,
         MonoTime aNow,
         const Contract& aContract,
         bool aAsked);

// Returns the token of a request that was admitted but certainly did not run,
// unless the lease under which it was taken has ended.
void
ReturnToken(TokenHolder& aHolder, MonoTime aNow, const WorkspaceId& aWorkspace);

// Returns the message to send now, if any: a new one, or a retransmission of
// the last one after a timeout. One request is in flight at a time.
std::optional<GrantRequest>
NextGrantRequest(TokenHolder& aHolder, MonoTime aNow);

void
HandleGrantReply(TokenHolder& aHolder, MonoTime aNow, const GrantReply& aReply);

// Called when there is a new leader: all holdings are reported to it at once.
void
HandleGrantorChange(TokenHolder& aHolder, MonoTime aNow);

// True if the grantor has replied since aTime.
inline bool
AnsweredSince(const TokenHolder& aHolder, MonoTime aTime)
{
  return aHolder.mRepliedAt >= aTime;
}

// False while the grantor does not reply, or does not know yet which tokens may
// be outstanding and so grants (nearly) none.
bool
AreGrantsExpected(const TokenHolder& aHolder, MonoTime aNow);

MonoTime
NextWakeup(const TokenHolder& aHolder);

} // namespace caraway
