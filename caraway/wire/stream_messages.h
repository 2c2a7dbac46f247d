#pragma once
// Messages by which entries keep the origins of streams at the control
// replicas, and ask for them when a caller resumes a stream at another entry.

#include <cstdint>
#include <vector>

#include "caraway/routing/stream_origins.h"

namespace caraway {

struct BegunStream
{
  StreamId mStream;
  uint16_t mOrigin = 0; // index into StreamsBegun::mOrigins
};

// Entry -> replicas: streams whose first event has arrived. Sent only for
// services whose streams may have begun at different software versions.
struct StreamsBegun
{
  std::vector<StreamOrigin> mOrigins;
  std::vector<BegunStream> mStreams; // at most kMaxBegunStreams
};

constexpr size_t kMaxBegunStreams = 4096;

// Entry -> replicas: asks for the origin of a stream that a caller resumes.
struct OriginQuery
{
  RequestId mRequest; // the resuming one; echoed in the reply
  StreamId mStream;   // none: the caller did not name the stream
  ServiceId mService; // that the request is routed to
};

enum class OriginState : uint8_t
{
  eUnknown,    // this replica has no record
  eKnown,      // has one
  eOneVersion, // streams of the service can have begun at one version only
};

struct OriginReply
{
  RequestId mRequest;
  OriginState mState = OriginState::eUnknown;
  bool mLeader = false; // sent by the leader: only it can say eOneVersion
  StreamOrigin mOrigin; // eKnown and eOneVersion
};

} // namespace caraway
