// Keeps the origins of the newest streams.

#include "caraway/routing/stream_origins.h"

#include <algorithm>

#include <xxhash.h>

namespace caraway {

namespace {

// A fleet has a few services, with a few versions each. The limit bounds what
// targets with ever new versions can take up.
constexpr size_t kMaxOrigins = 1024;

uint16_t
IndexOf(StreamOrigins& aOrigins, const StreamOrigin& aOrigin)
{
  const auto known =
    std::find(aOrigins.mOrigins.begin(), aOrigins.mOrigins.end(), aOrigin);
  if (known != aOrigins.mOrigins.end()) {
    return static_cast<uint16_t>(known - aOrigins.mOrigins.begin());
  }
  if (aOrigins.mOrigins.size() >= kMaxOrigins) {
    aOrigins.mOrigins.clear();
    aOrigins.mRecords.clear();
    aOrigins.mOrder.clear();
  }
  aOrigins.mOrigins.push_back(aOrigin);
  return static_cast<uint16_t>(aOrigins.mOrigins.size() - 1);
}

void
DropOldRecords(StreamOrigins& aOrigins, MonoTime aNow)
{
  auto& order = aOrigins.mOrder;
  while (!order.empty() && (order.size() > aOrigins.mCapacity ||
                            aNow - order.front().first > kStreamMemory)) {
    const auto [notedAt, stream] = order.front();
    order.pop_front();
    const auto record = aOrigins.mRecords.find(stream);
    if (record != aOrigins.mRecords.end() &&
        record->second.mNotedAt == notedAt) {
      aOrigins.mRecords.erase(record);
    }
  }
}

} // namespace

StreamId
StreamIdOf(const RequestId& aRequest)
{
  return StreamId(XXH3_64bits(aRequest.mValue.data(), aRequest.mValue.size()));
}

void
NoteOrigin(StreamOrigins& aOrigins,
           MonoTime aNow,
           StreamId aStream,
           const StreamOrigin& aOrigin)
{
  const uint16_t origin = IndexOf(aOrigins, aOrigin);
  const auto [record, added] =
    aOrigins.mRecords.try_emplace(aStream, StreamOrigins::Record{ origin });
  record->second.mAmbiguous |= record->second.mOrigin != origin;
  if (added || record->second.mNotedAt != aNow) {
    record->second.mNotedAt = aNow;
    aOrigins.mOrder.emplace_back(aNow, aStream);
  }
  DropOldRecords(aOrigins, aNow);
}

std::optional<StreamOrigin>
OriginOf(const StreamOrigins& aOrigins, StreamId aStream)
{
  const auto record = aOrigins.mRecords.find(aStream);
  if (record == aOrigins.mRecords.end() || record->second.mAmbiguous) {
    return std::nullopt;
  }
  return aOrigins.mOrigins[record->second.mOrigin];
}

} // namespace caraway
