// Sets of item numbers as sorted ranges.

#include "caraway/ledger/ranges.h"

#include <algorithm>
#include <cstddef>

namespace caraway {

namespace {

// The index of the first range that begins after aItem.
size_t
RangeAfter(const ItemRanges& aRanges, uint32_t aItem)
{
  auto after = std::upper_bound(aRanges.begin(),
                                aRanges.end(),
                                aItem,
                                [](uint32_t aLeft, const ItemRange& aRight) {
                                  return aLeft < aRight.mBegin;
                                });
  return static_cast<size_t>(after - aRanges.begin());
}

} // namespace

void
AddItem(ItemRanges& aRanges, uint32_t aItem)
{
  const size_t after = RangeAfter(aRanges, aItem);
  const bool joinsLeft = after > 0 && aRanges[after - 1].mEnd >= aItem;
  const bool joinsRight =
    after < aRanges.size() && aRanges[after].mBegin == aItem + 1;
  if (joinsLeft && aRanges[after - 1].mEnd > aItem) {
    return;
  }
  if (joinsLeft && joinsRight) {
    aRanges[after - 1].mEnd = aRanges[after].mEnd;
    aRanges.erase(aRanges.begin() + static_cast<ptrdiff_t>(after));
  } else if (joinsLeft) {
    ++aRanges[after - 1].mEnd;
  } else if (joinsRight) {
    --aRanges[after].mBegin;
  } else {
    aRanges.insert(aRanges.begin() + static_cast<ptrdiff_t>(after),
                   ItemRange{ aItem, aItem + 1 });
  }
}

bool
RemoveItem(ItemRanges& aRanges, uint32_t aItem)
{
  const size_t after = RangeAfter(aRanges, aItem);
  if (after == 0 || aRanges[after - 1].mEnd <= aItem) {
    return false;
  }
  ItemRange& range = aRanges[after - 1];
  const ItemRange right{ aItem + 1, range.mEnd };
  range.mEnd = aItem;
  const bool leftEmpty = range.mBegin == range.mEnd;
  const bool rightEmpty = right.mBegin == right.mEnd;
  const auto place = aRanges.begin() + static_cast<ptrdiff_t>(after);
  if (leftEmpty && rightEmpty) {
    aRanges.erase(place - 1);
  } else if (leftEmpty) {
    range = right;
  } else if (!rightEmpty) {
    aRanges.insert(place, right);
  }
  return true;
}

bool
ContainsItem(const ItemRanges& aRanges, uint32_t aItem)
{
  const size_t after = RangeAfter(aRanges, aItem);
  return after > 0 && aRanges[after - 1].mEnd > aItem;
}

uint64_t
CountItems(const ItemRanges& aRanges)
{
  uint64_t count = 0;
  for (const ItemRange& range : aRanges) {
    count += range.mEnd - range.mBegin;
  }
  return count;
}

std::vector<uint32_t>
ListItems(const ItemRanges& aRanges)
{
  std::vector<uint32_t> items;
  items.reserve(CountItems(aRanges));
  for (const ItemRange& range : aRanges) {
    for (uint32_t item = range.mBegin; item < range.mEnd; ++item) {
      items.push_back(item);
    }
  }
  return items;
}

bool
AreValidRanges(const ItemRanges& aRanges, uint32_t aTotal)
{
  bool first = true;
  uint32_t end = 0;
  for (const ItemRange& range : aRanges) {
    if (range.mBegin >= range.mEnd || range.mEnd > aTotal ||
        (!first && range.mBegin <= end)) {
      return false;
    }
    end = range.mEnd;
    first = false;
  }
  return true;
}

} // namespace caraway
