#pragma once
// Which connections of a listener are closed when all together hold too much.
// Answers crowds of clients that send requests ahead without reading answers,
// stop in the middle of a request or an answer, or open connections that they
// do not use. Connections in ordinary use hold little and move: they are never
// chosen.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "caraway/base/time.h"

namespace caraway {

enum class ConnectionUse : uint8_t
{
  eIdle,      // no request is in progress, and no byte of one has arrived
  eReceiving, // a request has arrived in part
  eServing,   // a request is in progress
  eSending,   // a part of an answer is unsent
};

struct HeldConnection
{
  uint64_t mId = 0;
  ConnectionUse mUse = ConnectionUse::eIdle;
  size_t mAhead = 0; // bytes of requests that follow the one in progress
  size_t mHeld = 0;  // all bytes, of requests and of answers
  // Since the last byte moved; for a request's head, since its first byte.
  Duration mStill;
};

struct HoldingLimits
{
  size_t mConnections = SIZE_MAX;
  size_t mBytes = SIZE_MAX; // the sum of HeldConnection::mHeld
  // A request or an answer that stops for less may go on.
  Duration mPatience = Seconds(5);
};

// Ids of the connections to close until the limits hold, or as many as may be
// closed. Too many bytes: first the connections with most sent ahead, then
// those that have been still for mPatience, by what they hold. Too many
// connections: first idle ones, then those that have been still for mPatience,
// the longest still first.
std::vector<uint64_t>
ConnectionsToClose(std::vector<HeldConnection> aConnections,
                   const HoldingLimits& aLimits);

} // namespace caraway
