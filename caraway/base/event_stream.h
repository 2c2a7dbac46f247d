#pragma once
// Cuts a stream of server-sent events into whole events, so that a stream that
// breaks in the middle of one can go on at another target.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

struct EventStream
{
  std::string mPending;          // bytes of an event that is not whole yet
  std::optional<uint64_t> mLast; // id of the last whole event that had one
  uint64_t mEvents = 0;          // whole events so far
};

// Adds bytes; returns the bytes of the events that are whole now.
std::string
TakeWholeEvents(EventStream& aStream, std::string_view aBytes);

// The "data:" lines of whole events, each without the field name, joined by
// line feeds.
std::string
EventData(std::string_view aEvents);

} // namespace caraway
