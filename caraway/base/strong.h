#pragma once
// Strong types for identifiers and units.
//
// Ids with different tags are different types that cannot be compared or
// assigned to each other, so that a workspace cannot be passed where a target
// is expected.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace caraway {

// A string id. Empty means "none".
template<class Tag>
struct StringId
{
  std::string mValue;

  StringId() = default;
  explicit StringId(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  bool Empty() const { return mValue.empty(); }
  auto operator<=>(const StringId&) const = default;

  template<class Hash>
  friend Hash AbslHashValue(Hash aState, const StringId& aId)
  {
    return Hash::combine(std::move(aState), aId.mValue);
  }
};

// An unsigned numeric id. Zero means "none" unless the type's comment says
// otherwise.
template<class Tag>
struct NumberId
{
  uint64_t mValue = 0;

  NumberId() = default;
  constexpr explicit NumberId(uint64_t aValue)
    : mValue(aValue)
  {
  }

  bool IsNone() const { return mValue == 0; }
  auto operator<=>(const NumberId&) const = default;

  template<class Hash>
  friend Hash AbslHashValue(Hash aState, const NumberId& aId)
  {
    return Hash::combine(std::move(aState), aId.mValue);
  }
};

} // namespace caraway

template<class Tag>
struct std::hash<caraway::StringId<Tag>>
{
  size_t operator()(const caraway::StringId<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.mValue);
  }
};

template<class Tag>
struct std::hash<caraway::NumberId<Tag>>
{
  size_t operator()(const caraway::NumberId<Tag>& aId) const
  {
    return std::hash<uint64_t>()(aId.mValue);
  }
};
