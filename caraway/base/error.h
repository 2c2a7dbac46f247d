#pragma once
// Typed error kinds over absl::Status. Each message names the remedy.

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace caraway {

enum class ErrorKind : uint8_t
{
  eNone,
  eUnauthenticated,  // no key, unknown key or withdrawn key
  eNotPermitted,     // the contract does not allow this model or route
  eRateLimited,      // workspace above its rate
  eOverloaded,       // no room now, come back later
  eDeadlineTooShort, // cannot finish before the deadline
  eZoneOut,          // zone or target taken out of service
  eLeaseExpired,     // this process lost contact with control
  eStaleEpoch,       // the message names an older session
  eStaleToken,       // the message names an older lease
  eRevisionConflict, // another operator changed the object first
  eNotLeader,        // ask the leader
  eNotFound,         // no such object
  eConflict,         // same id, different content
  eInvalidArgument,  // malformed or impossible input
  eTooLarge,         // over a stated size limit
  eInProgress,       // the first request with this idempotency key still runs
  eOutcomeUnknown,   // the first request may have run
  eWithdrawn,        // key or contract withdrawn while the request ran
  eDraining,         // this process is leaving
  eTargetFailed,     // the target broke the call
  eTimeout,          // no answer in time
  eCorruptData,      // a file or message fails its checksum or format
  eDiskFailed,       // a write or sync failed
  eUnavailable,      // control has no leader at present
};

// Machine-readable code, "rate_limited" and so on.
std::string_view
ErrorKindName(ErrorKind aKind);

// Builds a status whose message is "<what>; <remedy>". The kind travels as a
// payload and is read back with KindOf.
absl::Status
MakeError(ErrorKind aKind, std::string_view aWhat, std::string_view aRemedy);

// The kind of a status made by MakeError, eNone for OK, and the nearest kind
// for other statuses.
ErrorKind
KindOf(const absl::Status& aStatus);

} // namespace caraway
