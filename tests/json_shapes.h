#pragma once
// Test helper: JSON values of a given size, each of a shape that is costly for
// some way to read it.

#include <array>
#include <string>
#include <string_view>

namespace caraway {

struct JsonShape
{
  const char* mName;
  std::string (*mMake)(size_t aBytes); // about as many
};

// aOpen, then elements until aBytes are reached, then aClose.
template<class Element>
std::string
RepeatJson(size_t aBytes, char aOpen, char aClose, Element aElement)
{
  std::string text(1, aOpen);
  for (size_t at = 0; text.size() < aBytes; ++at) {
    text += (at == 0 ? "" : ",") + std::string(aElement(at));
  }
  return text + aClose;
}

inline std::string
ListOf(size_t aBytes, std::string_view aElement)
{
  return RepeatJson(aBytes, '[', ']', [&](size_t) { return aElement; });
}

inline std::string
Deep(size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

constexpr std::array<JsonShape, 10> kJsonShapes{ {
  { "empty_objects", [](size_t aBytes) { return ListOf(aBytes, "{}"); } },
  { "empty_arrays", [](size_t aBytes) { return ListOf(aBytes, "[]"); } },
  { "numbers", [](size_t aBytes) { return ListOf(aBytes, "7"); } },
  { "long_string",
    [](size_t aBytes) { return '"' + std::string(aBytes, 'x') + '"'; } },
  { "escapes",
    [](size_t aBytes) {
      std::string text = "\"";
      while (text.size() < aBytes) {
        text += R"(\u0001\n\")";
      }
      return text + '"';
    } },
  // As deep as is read, again and again.
  { "deep",
    [](size_t aBytes) {
      constexpr size_t kLevels = 60;
      return ListOf(aBytes, Deep(kLevels));
    } },
  { "wide",
    [](size_t aBytes) {
      constexpr size_t kElementBytes = 2000;
      return ListOf(aBytes, ListOf(kElementBytes, "{}"));
    } },
  { "many_keys",
    [](size_t aBytes) {
      return RepeatJson(aBytes, '{', '}', [](size_t aAt) {
        return '"' + std::to_string(aAt) + "\":0";
      });
    } },
  { "duplicate_keys",
    [](size_t aBytes) {
      return RepeatJson(
        aBytes, '{', '}', [](size_t) { return R"("key":{"a":[]})"; });
    } },
  { "long_number",
    [](size_t aBytes) { return "0." + std::string(aBytes, '9'); } },
} };

} // namespace caraway
