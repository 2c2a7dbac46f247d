#pragma once
// The origin of streams: which software version of which service brought their
// first event. What two versions write does not fit together, so a stream that
// broke off may go on only at its own version.
//
// A record is a fact that never changes, so that a copy of it is right however
// old it is. A missing record says nothing: a stream without one is never
// assumed to have begun at a certain version because of that.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Hash of the id of the caller's request that brought the stream's first event.
using StreamId = NumberId<struct StreamTag>;

struct StreamOrigin
{
  ServiceId mService;
  std::string mVersion; // of the software, as targets announce it

  bool operator==(const StreamOrigin&) const = default;
};

// Callers that resume a stream do so within the time that they wait for it.
constexpr Duration kStreamMemory = Seconds(60);

// Records of the newest streams.
struct StreamOrigins
{
  explicit StreamOrigins(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  struct Record
  {
    uint16_t mOrigin = 0; // index into mOrigins
    MonoTime mNotedAt;
    bool mAmbiguous = false; // noted with two origins
  };

  size_t mCapacity;                   // records
  std::vector<StreamOrigin> mOrigins; // distinct; at most kMaxOrigins
  absl::flat_hash_map<StreamId, Record> mRecords;
  // Streams in the order in which they were noted. One that was noted again
  // stands here twice, with the time of its record only at the last place.
  std::deque<std::pair<MonoTime, StreamId>> mOrder;
};

StreamId
StreamIdOf(const RequestId& aRequest);

// Records the origin, and drops records that are older than kStreamMemory or
// exceed the capacity.
void
NoteOrigin(StreamOrigins& aOrigins,
           MonoTime aNow,
           StreamId aStream,
           const StreamOrigin& aOrigin);

// The recorded origin; nothing if there is no record or an ambiguous one.
std::optional<StreamOrigin>
OriginOf(const StreamOrigins& aOrigins, StreamId aStream);

} // namespace caraway
