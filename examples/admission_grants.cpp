// Distributed rate limiting with the admission module. One grantor and three
// token holders run in one process on a simulated clock. A workspace with a
// rate of 100 requests/s and a burst of 50 sends 600 requests/s for 10 s,
// spread over all holders. The program fails if more than rate x time + burst
// requests are admitted, or less than 90% of rate x time.

#include <cstdio>
#include <vector>

#include "caraway/admission/grantor.h"
#include "caraway/admission/token_holder.h"

using namespace caraway;

int
main()
{
  constexpr int kHolders = 3;
  constexpr int kMillis = 10000;
  Contract contract;
  contract.mWorkspace = WorkspaceId("north");
  contract.mRate = 100;
  contract.mBurst = 50;
  ConfigView config;
  config.mContracts[contract.mWorkspace] = contract;

  // A new leader treats the tokens of its predecessor as outstanding until
  // their leases expire, so the clock advances by 10 s before the first
  // request.
  MonoTime now{ Seconds(100).mMicros };
  Grantor grantor;
  StartGrantor(grantor, now, config, Seconds(2), Seconds(3), Term(1), now);
  now = now + Seconds(10);
  std::vector<TokenHolder> holders(kHolders);
  for (int n = 0; n < kHolders; ++n) {
    StartTokenHolder(
      holders[n], now, InstanceId("entry-" + std::to_string(n)), Epoch(1 + n));
  }

  int admitted = 0;
  int refused = 0;
  std::vector<int> waiting(kHolders); // requests waiting for a token
  for (int millis = 0; millis < kMillis; ++millis) {
    now = now + Millis(1);
    for (int n = 0; n < kHolders; ++n) {
      TokenHolder& holder = holders[n];
      if (millis % 5 == n) { // one request every 5 ms at each holder
        const Admission admission = TryAdmit(holder, now, contract, false);
        admitted += admission.mVerdict == AdmitVerdict::eAdmitted ? 1 : 0;
        refused += admission.mVerdict == AdmitVerdict::eRefused ? 1 : 0;
        waiting[n] += admission.mVerdict == AdmitVerdict::eAsk ? 1 : 0;
      }
      // In an application, a transport carries request and reply between the
      // holder and the leader.
      const std::optional<GrantRequest> request = NextGrantRequest(holder, now);
      if (!request) {
        continue;
      }
      HandleGrantReply(
        holder, now, HandleGrantRequest(grantor, now, config, *request));
      for (int left = waiting[n]; left > 0; --left) {
        const Admission admission = TryAdmit(holder, now, contract, true);
        if (admission.mVerdict == AdmitVerdict::eAsk) {
          break;
        }
        admitted += admission.mVerdict == AdmitVerdict::eAdmitted ? 1 : 0;
        refused += admission.mVerdict == AdmitVerdict::eRefused ? 1 : 0;
        --waiting[n];
      }
    }
  }
  const double seconds = kMillis / 1000.0;
  const double bound = contract.mRate * seconds + contract.mBurst;
  std::printf(
    "admitted %d, refused %d, bound %.0f\n", admitted, refused, bound);
  const bool good =
    admitted <= bound && admitted >= 0.9 * contract.mRate * seconds;
  std::puts(good ? "ok" : "FAILED: admitted is out of bounds");
  return good ? 0 : 1;
}
