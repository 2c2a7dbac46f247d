#pragma once
// Splits a byte stream into complete server-sent events. A stream that breaks
// within an event can then be resumed at another target.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

struct EventStream
{
  std::string mPending;          // bytes of an incomplete event
  std::optional<uint64_t> mLast; // id of the last complete event with an id
  uint64_t mEvents = 0;          // complete events so far
};

// Adds bytes; returns the bytes of the events and comments that are complete
// now. Only events count in mEvents.
std::string
TakeWholeEvents(EventStream& aStream, std::string_view aBytes);

// True if bytes of an event have arrived whose end has not.
bool
HasPartialEvent(const EventStream& aStream);

// The values of the "data:" lines of complete events, joined by line feeds.
std::string
EventData(std::string_view aEvents);

// Appends the values of the "data:" lines of complete events to aText, with
// line feeds between them. aContinues: aText holds such values already, which
// may be empty. Returns whether it does now.
bool
AppendEventData(std::string_view aEvents, bool aContinues, std::string& aText);

} // namespace caraway
