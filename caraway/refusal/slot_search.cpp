// Whether a request that found no place at once asks one more target.

#include "caraway/refusal/slot_search.h"

#include <algorithm>

namespace caraway {

namespace {

// Waiting in three queues comes close to one queue for all targets.
constexpr size_t kUsual = 3;
// The same, if some of the targets state a rate and have no start left.
constexpr size_t kWithRates = 6;
// Each ask takes a round trip, so that the last answer still comes early.
constexpr size_t kForFreePlace = 8;

} // namespace

bool
MayAskAnother(const SlotSearch& aSearch)
{
  const size_t usual = std::min(kWithRates, kUsual + aSearch.mRated);
  return aSearch.mAsked < (aSearch.mHasFreePlace ? kForFreePlace : usual);
}

} // namespace caraway
