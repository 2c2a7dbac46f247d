// Splits and parses server-sent events.

#include "caraway/base/event_stream.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

// The position after the blank line that ends the last complete event; 0 if
// there is none. The bytes before aNew hold none.
size_t
EndOfLastEvent(std::string_view aBytes, size_t aNew)
{
  constexpr size_t kLongestEnd = 4;
  const size_t from = aNew < kLongestEnd ? 0 : aNew - kLongestEnd + 1;
  const std::string_view searched = aBytes.substr(from);
  const size_t plain = searched.rfind("\n\n");
  const size_t carriage = searched.rfind("\r\n\r\n");
  size_t end = 0;
  if (plain != std::string_view::npos) {
    end = from + plain + 2;
  }
  if (carriage != std::string_view::npos) {
    end = std::max(end, from + carriage + kLongestEnd);
  }
  return end;
}

// The value of a field line such as "id: 7", without the leading space; nothing
// if the line has another field.
std::optional<std::string_view>
FieldValue(std::string_view aLine, std::string_view aName)
{
  if (!aLine.starts_with(aName) || aLine.size() <= aName.size() ||
      aLine[aName.size()] != ':') {
    return std::nullopt;
  }
  aLine.remove_prefix(aName.size() + 1);
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  return aLine;
}

template<class Take>
void
ForEachLine(std::string_view aBytes, Take aTake)
{
  while (!aBytes.empty()) {
    const size_t end = aBytes.find('\n');
    aTake(aBytes.substr(0, end));
    aBytes.remove_prefix(end == std::string_view::npos ? aBytes.size()
                                                       : end + 1);
  }
}

} // namespace

std::string
TakeWholeEvents(EventStream& aStream, std::string_view aBytes)
{
  const size_t before = aStream.mPending.size();
  aStream.mPending.append(aBytes);
  const size_t end = EndOfLastEvent(aStream.mPending, before);
  std::string whole = aStream.mPending.substr(0, end);
  aStream.mPending.erase(0, end);
  bool inEvent = false;
  ForEachLine(whole, [&](std::string_view aLine) {
    if (auto id = FieldValue(aLine, "id")) {
      uint64_t number = 0;
      if (absl::SimpleAtoi(AbslView(*id), &number)) {
        aStream.mLast = number;
      }
    }
    const bool blank = aLine.empty() || aLine == "\r";
    aStream.mEvents += blank && inEvent ? 1 : 0;
    // Comments, which start with a colon, are part of no event.
    inEvent = !blank && (inEvent || !aLine.starts_with(':'));
  });
  return whole;
}

bool
HasPartialEvent(const EventStream& aStream)
{
  return aStream.mPending.find_first_not_of("\r\n ") != std::string::npos;
}

std::string
EventData(std::string_view aEvents)
{
  std::string data;
  AppendEventData(aEvents, false, data);
  return data;
}

bool
AppendEventData(std::string_view aEvents, bool aContinues, std::string& aText)
{
  bool continues = aContinues;
  ForEachLine(aEvents, [&](std::string_view aLine) {
    if (auto value = FieldValue(aLine, "data")) {
      if (continues) {
        aText.push_back('\n');
      }
      continues = true;
      aText.append(*value);
    }
  });
  return continues;
}

} // namespace caraway
