// Collects broken calls and answered input parts of one member.

#include "caraway/poison/crash_reporter.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

constexpr size_t kMaxBroken = 64;
constexpr size_t kMaxSuspects = 32;
constexpr size_t kMaxAnswered = 8192;
// Answers older than this are forgotten once there are kMaxAnswered.
constexpr Duration kAnsweredKept = Seconds(20);
// The calls at one target break within milliseconds of each other.
constexpr Duration kGatherTime = Millis(20);
constexpr Duration kResend = Millis(300);
// A new leader is told of crashes up to this age.
constexpr Duration kReportKept = Seconds(60);
constexpr Duration kWatchTime = Seconds(30);
// Answers of a watched part are reported at this interval.
constexpr Duration kTellInterval = Millis(200);
// Answers of other parts, while any part is watched.
constexpr Duration kTellNewestInterval = Seconds(1);

bool
IsDue(const BrokenTarget& aBroken, MonoTime aNow)
{
  return aBroken.mChecked && !aBroken.mAcknowledged && aNow >= aBroken.mSendAt;
}

void
DropOldReports(CrashReporter& aReporter, MonoTime aNow)
{
  while (!aReporter.mBroken.empty() &&
         (aReporter.mBroken.size() > kMaxBroken ||
          aNow - aReporter.mBroken.front().mAt > kReportKept)) {
    aReporter.mBroken.pop_front();
  }
}

void
MakeRoomForAnswers(CrashReporter& aReporter, MonoTime aNow)
{
  if (aReporter.mAnswered.size() < kMaxAnswered) {
    return;
  }
  absl::erase_if(aReporter.mAnswered, [&](const auto& aEntry) {
    return aNow - aEntry.second > kAnsweredKept;
  });
  if (aReporter.mAnswered.size() >= kMaxAnswered) {
    aReporter.mAnswered.clear();
  }
}

void
AddNewestAnswers(const CrashReporter& aReporter,
                 MonoTime aNow,
                 StartedParts& aStarted)
{
  if (aReporter.mNewestAnswer != kNever) {
    aStarted.mNewest = aNow - aReporter.mNewestAnswer;
  }
  for (const auto& [service, at] : aReporter.mNewestOf) {
    aStarted.mServices.push_back({ service, aNow - at });
  }
}

} // namespace

std::optional<CheckTarget>
NoteBrokenCall(CrashReporter& aReporter,
               MonoTime aNow,
               const TargetStart& aTarget,
               CrashSuspect aSuspect)
{
  DropOldReports(aReporter, aNow);
  if (aSuspect.mParts.size() > kMaxInputParts) {
    aSuspect.mParts.resize(kMaxInputParts);
  }
  for (BrokenTarget& broken : aReporter.mBroken) {
    if (broken.mTarget == aTarget.mTarget &&
        broken.mStartedAt == aTarget.mStartedAt &&
        aNow - broken.mAt < kSameEvent) {
      if (broken.mSuspects.size() < kMaxSuspects) {
        broken.mSuspects.push_back(std::move(aSuspect));
        broken.mAcknowledged = false;
        broken.mSendAt = std::min(broken.mSendAt, aNow + kGatherTime);
      }
      return std::nullopt;
    }
  }
  BrokenTarget broken;
  broken.mTarget = aTarget.mTarget;
  broken.mStartedAt = aTarget.mStartedAt;
  broken.mAddress = aTarget.mAddress;
  broken.mService = aTarget.mService;
  broken.mAt = aNow;
  broken.mCheck = aReporter.mNextCheck++;
  broken.mSendAt = aNow + kGatherTime;
  broken.mSuspects.push_back(std::move(aSuspect));
  aReporter.mBroken.push_back(std::move(broken));
  return CheckTarget{ aReporter.mBroken.back().mCheck, aTarget.mAddress };
}

std::optional<DecisionLog>
HandleTargetChecked(CrashReporter& aReporter,
                    MonoTime aNow,
                    const TargetChecked& aEvent)
{
  for (BrokenTarget& broken : aReporter.mBroken) {
    if (broken.mChecked || broken.mCheck != aEvent.mCheck) {
      continue;
    }
    broken.mChecked = true;
    broken.mConfirmed = aEvent.mReach == TargetReach::eRefuses;
    DecisionLog log;
    log.mLevel = LogLevel::eWarning;
    log.mEvent = "target_check";
    log.mChoice = broken.mConfirmed ? "ended" : "unknown";
    log.mReason = aEvent.mReach == TargetReach::eRefuses
                    ? "the target refuses connections after calls broke"
                  : aEvent.mReach == TargetReach::eAccepts
                    ? "the target accepts connections after calls broke"
                    : "the target does not respond after calls broke";
    log.mExtra = { { "target", broken.mTarget.mValue },
                   { "suspects", absl::StrCat(broken.mSuspects.size()) },
                   { "age_ms", absl::StrCat((aNow - broken.mAt).Millis()) } };
    return log;
  }
  return std::nullopt;
}

std::optional<StartedParts>
NoteAnswered(CrashReporter& aReporter,
             MonoTime aNow,
             const ServiceId& aService,
             const InputParts& aParts)
{
  MakeRoomForAnswers(aReporter, aNow);
  aReporter.mNewestAnswer = aNow;
  aReporter.mNewestOf[aService] = aNow;
  StartedParts started;
  for (const InputPartId& part : aParts) {
    aReporter.mAnswered[part] = aNow;
    auto watched = aReporter.mWatched.find(part);
    if (watched != aReporter.mWatched.end() && aNow < watched->second.mUntil &&
        aNow - watched->second.mToldAt >= kTellInterval) {
      watched->second.mToldAt = aNow;
      started.mParts.push_back({ part, Duration{} });
    }
  }
  const bool watches =
    std::any_of(aReporter.mWatched.begin(),
                aReporter.mWatched.end(),
                [&](auto& aWatched) { return aNow < aWatched.second.mUntil; });
  const bool tellNewest =
    watches && aNow - aReporter.mToldNewestAt >= kTellNewestInterval;
  if (started.mParts.empty() && !tellNewest) {
    return std::nullopt;
  }
  aReporter.mToldNewestAt = aNow;
  AddNewestAnswers(aReporter, aNow, started);
  return started;
}

StartedParts
AnswerSuspectQuery(CrashReporter& aReporter,
                   MonoTime aNow,
                   const SuspectQuery& aQuery)
{
  std::erase_if(aReporter.mWatched, [&](const auto& aWatched) {
    return aNow >= aWatched.second.mUntil;
  });
  StartedParts started;
  started.mAsked = aQuery.mParts;
  for (const InputPartId& part : aQuery.mParts) {
    aReporter.mWatched[part] = { aNow + kWatchTime, MonoTime{} };
    auto answered = aReporter.mAnswered.find(part);
    if (answered != aReporter.mAnswered.end()) {
      started.mParts.push_back({ part, aNow - answered->second });
    }
  }
  AddNewestAnswers(aReporter, aNow, started);
  return started;
}

void
HandleReportAck(CrashReporter& aReporter, const CrashReportAck& aAck)
{
  for (BrokenTarget& broken : aReporter.mBroken) {
    if (broken.mNumber == aAck.mNumber && broken.mNumber != 0) {
      broken.mAcknowledged = true;
    }
  }
}

void
ResendCrashReports(CrashReporter& aReporter, MonoTime aNow)
{
  DropOldReports(aReporter, aNow);
  for (BrokenTarget& broken : aReporter.mBroken) {
    broken.mAcknowledged = false;
    broken.mSendAt = std::min(broken.mSendAt, aNow);
  }
}

std::vector<CrashReport>
DueCrashReports(CrashReporter& aReporter, MonoTime aNow)
{
  std::vector<CrashReport> due;
  for (BrokenTarget& broken : aReporter.mBroken) {
    if (!IsDue(broken, aNow)) {
      continue;
    }
    // A new number for each transmission: the acknowledgement of an earlier one
    // does not cover suspects that were added since.
    broken.mNumber = aReporter.mNextNumber++;
    broken.mSendAt = aNow + kResend;
    CrashReport report;
    report.mNumber = broken.mNumber;
    report.mTarget = broken.mTarget;
    report.mStartedAt = broken.mStartedAt;
    report.mAddress = broken.mAddress;
    report.mAge = aNow - broken.mAt;
    report.mConfirmed = broken.mConfirmed;
    report.mService = broken.mService;
    report.mSuspects = broken.mSuspects;
    due.push_back(std::move(report));
  }
  return due;
}

MonoTime
NextWakeup(const CrashReporter& aReporter)
{
  MonoTime next = kNever;
  for (const BrokenTarget& broken : aReporter.mBroken) {
    if (broken.mChecked && !broken.mAcknowledged) {
      next = std::min(next, broken.mSendAt);
    }
  }
  return next;
}

} // namespace caraway
