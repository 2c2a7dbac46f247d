#pragma once
// Helpers for the hosts of roles that call targets: both translate between the
// role and the TargetClient by the targets' dialect.

#include <utility>

#include "caraway/runtime/dialect.h"
#include "caraway/runtime/target_client.h"

namespace caraway {

// Posts all events of the client's calls except mOnSent to the pump. The
// dialect and the pump must outlive the client.
template<class Pump>
void
PostTargetEvents(TargetClient& aClient,
                 const TargetDialect& aDialect,
                 Pump& aPump)
{
  aClient.mOnBegan.connect([&](const TargetCallBegan& aEvent) {
    TargetCallBegan event = aEvent;
    if (aDialect.mReadAnswer) {
      aDialect.mReadAnswer(event);
    }
    aPump.Post(std::move(event));
  });
  const auto post = [&](const auto& aEvent) { aPump.Post(aEvent); };
  aClient.mOnBytes.connect(post);
  aClient.mOnEnded.connect(post);
  aClient.mOnFailed.connect(post);
  aClient.mOnChecked.connect(post);
}

inline void
TranslateAndStartCall(TargetClient& aClient,
                      const TargetDialect& aDialect,
                      StartTargetCall& aCall)
{
  if (aDialect.mWriteCall) {
    aDialect.mWriteCall(aCall);
  }
  aClient.Start(aCall);
}

} // namespace caraway
