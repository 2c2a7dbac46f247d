#pragma once
// Sets of item numbers, kept as sorted, disjoint, non-adjacent half-open
// ranges.

#include <cstdint>
#include <vector>

namespace caraway {

struct ItemRange
{
  uint32_t mBegin = 0;
  uint32_t mEnd = 0; // one past the last

  bool operator==(const ItemRange&) const = default;
};

using ItemRanges = std::vector<ItemRange>;

// No effect if the item is in the set.
void
AddItem(ItemRanges& aRanges, uint32_t aItem);

// False if the item was not in the set.
bool
RemoveItem(ItemRanges& aRanges, uint32_t aItem);

bool
ContainsItem(const ItemRanges& aRanges, uint32_t aItem);

uint64_t
CountItems(const ItemRanges& aRanges);

std::vector<uint32_t>
ListItems(const ItemRanges& aRanges);

// True if sorted, disjoint and not adjacent, with none empty or past aTotal.
bool
AreValidRanges(const ItemRanges& aRanges, uint32_t aTotal);

} // namespace caraway
