#pragma once
// Whether a request that found no place at once asks one more target.
//
// Answers the load of bursts that entries spread by reports from before them:
// the targets asked first are full, and others have places.

#include <cstddef>

namespace caraway {

struct SlotSearch
{
  size_t mAsked = 0;          // targets, those that refused included
  size_t mRated = 0;          // of them, targets that state a rate
  bool mHasFreePlace = false; // by the last report of one not asked yet
};

bool
MayAskAnother(const SlotSearch& aSearch);

} // namespace caraway
