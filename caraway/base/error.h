#pragma once
// Error kinds on top of absl::Status. Each message says what to do.

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace caraway {

enum class ErrorKind : uint8_t
{
  eNone,
  eUnauthenticated,  // the key is missing, unknown or withdrawn
  eNotPermitted,     // the contract does not allow this model or route
  eRateLimited,      // the workspace exceeds its rate
  eOverloaded,       // no capacity at present, retry later
  eDeadlineTooShort, // cannot finish before the deadline
  eZoneOut,          // the zone or target is out of service
  eLeaseExpired,     // this process lost contact with control
  eStaleEpoch,       // the message belongs to an earlier session
  eStaleToken,       // the message belongs to an earlier lease
  eRevisionConflict, // the object was changed concurrently
  eNotLeader,        // this replica is not the leader
  eNotFound,         // no such object
  eConflict,         // the id is in use with different content
  eInvalidArgument,  // malformed or impossible input
  eTooLarge,         // exceeds a size limit
  eInProgress,       // the first request with the idempotency key is running
  eOutcomeUnknown,   // the first request may have run
  eWithdrawn,        // key or contract was withdrawn during the request
  eDraining,         // this process is shutting down
  eTargetFailed,     // the call to the target failed
  eTimeout,          // no response in time
  eCorruptData,      // invalid checksum or format of a file or message
  eDiskFailed,       // a disk write or sync failed
  eUnavailable,      // there is no leader at present
  eInputBlocked,     // the input has crashed the targets that served it
};

// The machine-readable code, such as "rate_limited".
std::string_view
ErrorKindName(ErrorKind aKind);

// Builds a status whose message is "<what>; <remedy>". The kind is stored
// as a payload and read with KindOf.
absl::Status
MakeError(ErrorKind aKind, std::string_view aWhat, std::string_view aRemedy);

// The kind of a status made by MakeError, eNone for OK, else the first kind
// with the same status code.
ErrorKind
KindOf(const absl::Status& aStatus);

} // namespace caraway
