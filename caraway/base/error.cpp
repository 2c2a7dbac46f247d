// Error kinds: their names and status codes, and the status payload that stores
// the kind.

#include "caraway/base/error.h"

#include <array>

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

constexpr absl::string_view kKindPayload = "caraway/kind";

struct KindInfo
{
  ErrorKind mKind;
  std::string_view mName;
  absl::StatusCode mCode;
};

constexpr std::array kKinds{
  KindInfo{ ErrorKind::eNone, "none", absl::StatusCode::kOk },
  KindInfo{ ErrorKind::eUnauthenticated,
            "unauthenticated",
            absl::StatusCode::kUnauthenticated },
  KindInfo{ ErrorKind::eNotPermitted,
            "not_permitted",
            absl::StatusCode::kPermissionDenied },
  KindInfo{ ErrorKind::eRateLimited,
            "rate_limited",
            absl::StatusCode::kResourceExhausted },
  KindInfo{ ErrorKind::eOverloaded,
            "overloaded",
            absl::StatusCode::kResourceExhausted },
  KindInfo{ ErrorKind::eDeadlineTooShort,
            "deadline_too_short",
            absl::StatusCode::kDeadlineExceeded },
  KindInfo{ ErrorKind::eZoneOut, "zone_out", absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eLeaseExpired,
            "lease_expired",
            absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eStaleEpoch,
            "stale_epoch",
            absl::StatusCode::kFailedPrecondition },
  KindInfo{ ErrorKind::eStaleToken,
            "stale_token",
            absl::StatusCode::kFailedPrecondition },
  KindInfo{ ErrorKind::eRevisionConflict,
            "revision_conflict",
            absl::StatusCode::kAborted },
  KindInfo{ ErrorKind::eNotLeader,
            "not_leader",
            absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eNotFound, "not_found", absl::StatusCode::kNotFound },
  KindInfo{ ErrorKind::eConflict,
            "conflict",
            absl::StatusCode::kAlreadyExists },
  KindInfo{ ErrorKind::eInvalidArgument,
            "invalid_argument",
            absl::StatusCode::kInvalidArgument },
  KindInfo{ ErrorKind::eTooLarge,
            "too_large",
            absl::StatusCode::kInvalidArgument },
  KindInfo{ ErrorKind::eInProgress, "in_progress", absl::StatusCode::kAborted },
  KindInfo{ ErrorKind::eOutcomeUnknown,
            "outcome_unknown",
            absl::StatusCode::kUnknown },
  KindInfo{ ErrorKind::eWithdrawn,
            "withdrawn",
            absl::StatusCode::kPermissionDenied },
  KindInfo{ ErrorKind::eDraining, "draining", absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eTargetFailed,
            "target_failed",
            absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eTimeout,
            "timeout",
            absl::StatusCode::kDeadlineExceeded },
  KindInfo{ ErrorKind::eCorruptData,
            "corrupt_data",
            absl::StatusCode::kDataLoss },
  KindInfo{ ErrorKind::eDiskFailed,
            "disk_failed",
            absl::StatusCode::kInternal },
  KindInfo{ ErrorKind::eUnavailable,
            "unavailable",
            absl::StatusCode::kUnavailable },
  KindInfo{ ErrorKind::eInputBlocked,
            "input_blocked",
            absl::StatusCode::kFailedPrecondition },
};

const KindInfo&
InfoOf(ErrorKind aKind)
{
  for (const KindInfo& info : kKinds) {
    if (info.mKind == aKind) {
      return info;
    }
  }
  return kKinds[0];
}

} // namespace

std::string_view
ErrorKindName(ErrorKind aKind)
{
  return InfoOf(aKind).mName;
}

absl::Status
MakeError(ErrorKind aKind, std::string_view aWhat, std::string_view aRemedy)
{
  const KindInfo& info = InfoOf(aKind);
  absl::Status status(info.mCode,
                      absl::StrCat(AbslView(aWhat), "; ", AbslView(aRemedy)));
  status.SetPayload(kKindPayload, absl::Cord(AbslView(info.mName)));
  return status;
}

ErrorKind
KindOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return ErrorKind::eNone;
  }
  if (auto payload = aStatus.GetPayload(kKindPayload)) {
    for (const KindInfo& info : kKinds) {
      if (*payload == AbslView(info.mName)) {
        return info.mKind;
      }
    }
  }
  for (const KindInfo& info : kKinds) {
    if (info.mCode == aStatus.code()) {
      return info.mKind;
    }
  }
  return ErrorKind::eUnavailable;
}

} // namespace caraway
