// The entry's session with control: registration, lease renewal and leader
// discovery.

#include "caraway/entry/session.h"

#include <algorithm>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "caraway/admission/fallback_share.h"
#include "caraway/admission/token_holder.h"
#include "caraway/base/lease.h"
#include "caraway/config/view_digest.h"
#include "caraway/entry/config_fetch.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/early_requests.h"
#include "caraway/entry/replica_discovery.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

constexpr Duration kRenewInterval = Seconds(1);
constexpr Duration kReplyTimeout = Millis(500);
// Limits the rate of messages when two replicas redirect to each other.
constexpr Duration kRedirectPause = Millis(50);
// Between renewals while control reports eNotYet.
constexpr Duration kNotYetPause = Millis(100);

// Logs loss or return of contact with the control leader, and how long it was
// lost.
void
LogLeader(EntryStep& aStep, const char* aChoice, const std::string& aReplica)
{
  EntrySession& session = aStep.mEntry.mSession;
  const bool lost = std::string_view(aChoice) == "lost";
  DecisionLog log;
  log.mLevel = lost ? LogLevel::eWarning : LogLevel::eInfo;
  log.mEvent = "control_leader";
  log.mChoice = aChoice;
  log.mReason = aReplica;
  log.mExtra = {
    { "away_ms",
      lost || session.mLeaderLostAt == kNever
        ? "0"
        : std::to_string((aStep.mNow - session.mLeaderLostAt).Millis()) },
    { "revision", std::to_string(aStep.mEntry.mConfig.mRevision.mValue) }
  };
  session.mLeaderLostAt = lost ? aStep.mNow : kNever;
  aStep.mOut.emplace_back(std::move(log));
}

const char*
VerdictName(RenewVerdict aVerdict)
{
  switch (aVerdict) {
    case RenewVerdict::eGranted:
      return "granted";
    case RenewVerdict::eRevisionTooOld:
      return "copy_too_old";
    case RenewVerdict::eCopyDiffers:
      return "copy_differs";
    case RenewVerdict::eUnknownSession:
      return "unknown_session";
  }
  return "";
}

// One line for each change of the verdict and each lease after a time without
// one.
void
LogVerdict(EntryStep& aStep, const RenewReply& aReply)
{
  EntrySession& session = aStep.mEntry.mSession;
  const bool granted = aReply.mVerdict == RenewVerdict::eGranted;
  const bool gained = granted && !HasValidLease(aStep.mEntry, aStep.mNow);
  if (aReply.mVerdict == session.mVerdict && !gained) {
    return;
  }
  session.mVerdict = aReply.mVerdict;
  DecisionLog log;
  log.mEvent = "lease";
  log.mChoice = VerdictName(aReply.mVerdict);
  log.mReason = session.mConfirmedLeader.mValue;
  log.mExtra = CopyFields(aStep.mEntry, aStep.mNow);
  log.mExtra.push_back(
    { "leader_revision", std::to_string(aReply.mRevision.mValue) });
  aStep.mOut.emplace_back(std::move(log));
}

void
NoteAnswer(EntryStep& aStep,
           const PeerAddress& aFrom,
           const NotLeader* aReply) // null: none
{
  const std::vector<PeerAddress>& replicas = aStep.mEntry.mSettings.mControl;
  const auto known = [&](const PeerAddress& aReplica) {
    return std::find(replicas.begin(), replicas.end(), aReplica) !=
           replicas.end();
  };
  auto& answers = aStep.mEntry.mSession.mAnswers;
  std::erase_if(answers,
                [&](const auto& aAnswer) { return !known(aAnswer.first); });
  if (known(aFrom)) {
    answers[aFrom] = { aReply == nullptr,
                       aReply == nullptr ? NotLeader{} : *aReply,
                       aStep.mNow };
  }
}

void
MarkLeaderLost(EntryStep& aStep)
{
  PeerAddress& confirmed = aStep.mEntry.mSession.mConfirmedLeader;
  if (!confirmed.Empty()) {
    LogLeader(aStep, "lost", confirmed.mValue);
  }
  confirmed = {};
}

void
TryNextReplica(EntryStep& aStep, Duration aPause)
{
  EntrySession& session = aStep.mEntry.mSession;
  const std::vector<PeerAddress>& replicas = aStep.mEntry.mSettings.mControl;
  MarkLeaderLost(aStep);
  if (replicas.empty()) {
    return;
  }
  session.mReplica = (session.mReplica + 1) % replicas.size();
  if (replicas[session.mReplica] == session.mLeader) {
    session.mReplica = (session.mReplica + 1) % replicas.size();
  }
  session.mLeader = replicas[session.mReplica];
  session.mReplyBy = kNever;
  session.mResendAt = std::min(session.mResendAt, aStep.mNow + aPause);
}

Member
OwnMember(const Entry& aEntry)
{
  Member member;
  member.mInstance = aEntry.mSettings.mInstance;
  member.mIncarnation = aEntry.mIncarnation;
  member.mRole = MemberRole::eEntry;
  member.mAddress = aEntry.mSettings.mAddress;
  member.mZone = aEntry.mSettings.mZone;
  member.mRegion = aEntry.mSettings.mRegion;
  return member;
}

void
SendRegister(EntryStep& aStep)
{
  Register message;
  message.mMember = OwnMember(aStep.mEntry);
  message.mSentAt = aStep.mNow.mMicros;
  Send(aStep, aStep.mEntry.mSession.mLeader, std::move(message));
}

void
SendRenew(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  Renew message;
  message.mInstance = entry.mSettings.mInstance;
  message.mEpoch = entry.mSession.mEpoch;
  message.mRevision = StatedRevision(entry);
  message.mSentAt = aStep.mNow.mMicros;
  message.mDraining = entry.mDrain.mSince != kNever;
  message.mLeaseLeft = HasValidLease(entry, aStep.mNow)
                         ? entry.mSession.mLeaseEnd - aStep.mNow
                         : Duration{};
  message.mDigest = entry.mFetcher.mReplacements < kMostReplacements
                      ? ViewDigest(entry.mConfig)
                      : 0;
  entry.mSession.mRenewedRevision = message.mRevision;
  Send(aStep, entry.mSession.mLeader, std::move(message));
}

// A replica replied as leader.
void
ConfirmLeader(EntryStep& aStep, const PeerAddress& aFrom)
{
  EntrySession& session = aStep.mEntry.mSession;
  session.mHeardAt = aStep.mNow;
  if (session.mConfirmedLeader == aFrom) {
    return;
  }
  LogLeader(aStep, "regained", aFrom.mValue);
  session.mAnswers.clear();
  session.mConfirmedLeader = aFrom;
  session.mLeader = aFrom;
  HandleGrantorChange(aStep.mEntry.mTokens, aStep.mNow);
  DropUnusedShares(aStep.mEntry.mFallback);
  ResendCalls(aStep);
  ResendCrashReports(aStep.mEntry.mCrashReporter, aStep.mNow);
}

void
StartSession(EntryStep& aStep, Epoch aEpoch)
{
  Entry& entry = aStep.mEntry;
  entry.mSession.mEpoch = aEpoch;
  entry.mSession.mNextSend = aStep.mNow;
  // Dispatch sequence numbers restart with each epoch of this entry. Attempts
  // in flight keep the epoch and number they were sent with.
  entry.mSequences.clear();
  StartTokenHolder(
    entry.mTokens, aStep.mNow, entry.mSettings.mInstance, aEpoch);
  RenumberCalls(aStep);
}

} // namespace

bool
HasValidLease(const Entry& aEntry, MonoTime aNow)
{
  return !aEntry.mSession.mEpoch.IsNone() && aNow < aEntry.mSession.mLeaseEnd;
}

bool
HasConfirmedPlan(const Entry& aEntry)
{
  return aEntry.mSession.mCopyConfirmed && aEntry.mConfig.mPlan;
}

std::string
DescribeAnswers(const Entry& aEntry, MonoTime aNow)
{
  const auto& answers = aEntry.mSession.mAnswers;
  std::string text;
  for (const PeerAddress& replica : aEntry.mSettings.mControl) {
    absl::StrAppend(&text, text.empty() ? "" : " ", replica.mValue, ":");
    const auto found = answers.find(replica);
    if (found == answers.end()) {
      text += "not_asked";
      continue;
    }
    const ReplicaAnswer& answer = found->second;
    const NotLeader& reply = answer.mReply;
    if (answer.mSilent) {
      text += "silent";
    } else if (reply.mDiskAway) {
      text += "disk_away";
    } else if (!reply.mLeader.Empty()) {
      absl::StrAppend(&text, "names_", reply.mLeader.mValue);
    } else {
      absl::StrAppend(&text,
                      "knows_none,votes=",
                      reply.mVotes,
                      "/",
                      reply.mVoters,
                      ",term=",
                      reply.mTerm.mValue);
    }
    absl::StrAppend(&text, ",", (aNow - answer.mAt).Millis(), "ms");
  }
  return text;
}

Duration
ControlAway(const Entry& aEntry, MonoTime aNow)
{
  const MonoTime since = aEntry.mSession.mLeaderLostAt;
  return since == kNever ? Duration{} : aNow - since;
}

void
TickSession(EntryStep& aStep)
{
  EntrySession& session = aStep.mEntry.mSession;
  if (session.mLeader.Empty()) {
    return;
  }
  if (aStep.mNow >= session.mReplyBy) {
    NoteAnswer(aStep, session.mLeader, nullptr);
    TryNextReplica(aStep, {});
  }
  if (aStep.mNow >= session.mResendAt) {
    session.mResendAt = kNever;
    session.mNextSend = aStep.mNow;
    ResendCalls(aStep);
  }
  if (aStep.mNow < session.mNextSend) {
    return;
  }
  if (!session.mEpoch.IsNone()) {
    SendRenew(aStep);
  } else if (aStep.mEntry.mDrain.mLeaveAt == kNever) {
    SendRegister(aStep);
  }
  session.mLastSent = aStep.mNow;
  session.mNextSend = aStep.mNow + kRenewInterval;
  session.mReplyBy = std::min(session.mReplyBy, aStep.mNow + kReplyTimeout);
}

MonoTime
SessionWakeup(const Entry& aEntry)
{
  const EntrySession& session = aEntry.mSession;
  if (session.mLeader.Empty()) {
    return kNever;
  }
  return std::min({ session.mNextSend, session.mReplyBy, session.mResendAt });
}

void
RenewNow(EntryStep& aStep)
{
  if (!aStep.mEntry.mSession.mEpoch.IsNone()) {
    aStep.mEntry.mSession.mNextSend = aStep.mNow;
  }
}

void
HandleRegisterReply(EntryStep& aStep,
                    const PeerAddress& aFrom,
                    const RegisterReply& aReply)
{
  Entry& entry = aStep.mEntry;
  if (aReply.mInstance != entry.mSettings.mInstance ||
      aReply.mIncarnation != entry.mIncarnation ||
      !entry.mSession.mEpoch.IsNone() ||
      aReply.mEpoch <= entry.mSession.mLastEndedEpoch) {
    return;
  }
  entry.mSession.mReplyBy = kNever;
  StartSession(aStep, aReply.mEpoch);
  ConfirmLeader(aStep, aFrom);
}

void
HandleRenewReply(EntryStep& aStep,
                 const PeerAddress& aFrom,
                 const RenewReply& aReply)
{
  Entry& entry = aStep.mEntry;
  EntrySession& session = entry.mSession;
  if (aReply.mInstance != entry.mSettings.mInstance ||
      session.mEpoch.IsNone() || aReply.mEpoch != session.mEpoch) {
    return;
  }
  if (aReply.mSentAt == session.mLastSent.mMicros) {
    session.mReplyBy = kNever;
  }
  ConfirmLeader(aStep, aFrom);
  LogVerdict(aStep, aReply);
  FetchFromLeaderIfNewer(aStep, aFrom, aReply.mRevision);
  switch (aReply.mVerdict) {
    case RenewVerdict::eGranted:
      if (!HasValidLease(entry, aStep.mNow)) {
        // The grantor counts the lease once a renewal has stated it.
        session.mNextSend = aStep.mNow;
      }
      session.mLeaseEnd = std::max(
        session.mLeaseEnd, HolderLeaseEnd({ aReply.mSentAt }, aReply.mLease));
      session.mCopyConfirmed = true;
      ProcessEarlyRequests(aStep);
      break;
    case RenewVerdict::eRevisionTooOld:
      FetchNow(aStep);
      session.mNextSend =
        std::min(session.mNextSend, aStep.mNow + kNotYetPause);
      break;
    case RenewVerdict::eCopyDiffers:
      ReplaceCopy(aStep, aFrom, { aReply.mSentAt });
      session.mNextSend =
        std::min(session.mNextSend, aStep.mNow + kNotYetPause);
      break;
    case RenewVerdict::eUnknownSession:
      session.mLastEndedEpoch = session.mEpoch;
      session.mEpoch = {};
      session.mLeaseEnd = kLongAgo;
      session.mNextSend = aStep.mNow;
      break;
  }
}

// Without this message, the entry notices the loss of the former leader only
// when a renewal times out.
void
HandleLeading(EntryStep& aStep,
              const PeerAddress& aFrom,
              const Leading& aMessage)
{
  EntrySession& session = aStep.mEntry.mSession;
  if (aMessage.mTerm <= session.mTerm) {
    return;
  }
  session.mTerm = aMessage.mTerm;
  NoteLeaderAddress(aStep, aFrom);
  TellStreamsAgain(aStep);
  if (session.mConfirmedLeader == aFrom) {
    return;
  }
  MarkLeaderLost(aStep);
  session.mLeader = aFrom;
  session.mReplyBy = kNever;
  session.mNextSend = aStep.mNow;
}

void
HandleNotLeader(EntryStep& aStep,
                const PeerAddress& aFrom,
                const NotLeader& aReply)
{
  EntrySession& session = aStep.mEntry.mSession;
  if (aFrom != session.mLeader) {
    return; // reply to a message to an earlier leader
  }
  NoteAnswer(aStep, aFrom, &aReply);
  if (aReply.mLeader.Empty() || aReply.mLeader == aFrom) {
    TryNextReplica(aStep, kRedirectPause);
    return;
  }
  MarkLeaderLost(aStep);
  session.mLeader = aReply.mLeader;
  session.mReplyBy = kNever;
  // The first redirect is followed at once, further ones at intervals.
  const MonoTime earliest = session.mRedirectedAt + kRedirectPause;
  session.mRedirectedAt = std::max(aStep.mNow, earliest);
  session.mResendAt = std::max(aStep.mNow, earliest);
}

void
SessionPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  if (aPeer == aStep.mEntry.mSession.mLeader) {
    NoteAnswer(aStep, aPeer, nullptr);
    TryNextReplica(aStep, kRedirectPause);
  }
}

uint32_t
EntriesKnown(const Entry& aEntry)
{
  return std::max<uint32_t>(1, aEntry.mEntriesKnown);
}

uint32_t
RankAmongEntries(const Entry& aEntry, std::string_view aKey)
{
  const InstanceId& self = aEntry.mSettings.mInstance;
  const uint64_t own = RendezvousScore(self.mValue, aKey);
  uint32_t rank = 0;
  for (const auto& [id, member] : aEntry.mConfig.mMembers) {
    if (member.mRole == MemberRole::eEntry && id != self &&
        RendezvousScore(id.mValue, aKey) > own) {
      ++rank;
    }
  }
  return rank;
}

} // namespace caraway
