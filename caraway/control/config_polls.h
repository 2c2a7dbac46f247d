#pragma once
// Distributes the configuration to its holders (entries and nodes) by long
// polling. Any replica answers, with deltas or, where that is less to send,
// with parts of a snapshot. A replica that has just started answers without
// changes until it knows what is committed: what it recovered may be long out
// of date.

#include <map>
#include <vector>

#include "caraway/base/role_io.h"
#include "caraway/config/operations.h"
#include "caraway/wire/session_messages.h"

namespace caraway {

struct ConfigPoll
{
  ConfigFetch mFetch;
  MonoTime mDue; // answered at this time even without a new change
};

// A snapshot that is kept while holders fetch its parts.
struct CachedSnapshot
{
  Revision mRevision; // none: not built
  std::vector<ConfigChange> mChanges;
  MonoTime mBuiltAt;
  MonoTime mLastUsed;
};

struct ConfigPolls
{
  std::map<PeerAddress, ConfigPoll> mPolls; // one per holder
  std::map<ConfigScope, CachedSnapshot> mSnapshots;
  // The history includes all that was committed when this replica started.
  bool mCurrent = true;
  MonoTime mNextDue = kNever;  // at or before the first due poll
  MonoTime mNextRound{ 0 };    // changes are collected until then
  uint64_t mDeltas = 0;        // answers with changes, for metrics
  uint64_t mSnapshotParts = 0; // for metrics
};

constexpr Duration kLongPollTimeout = Seconds(1);
constexpr Duration kSnapshotCacheTtl =
  Seconds(10); // after its last part was read
// A transfer begins with a snapshot that is no older. Long enough for the parts
// of one to be fetched while changes go on.
constexpr Duration kSnapshotMaxAge = Millis(200);
// After a round of answers, changes are collected for this interval per holder
// that was answered, and for kMaxRoundInterval at most. When a whole fleet
// starts, each registration is a change for all holders; sending each one
// separately would be quadratic in the size of the fleet.
constexpr Duration kRoundIntervalPerHolder = Millis(1);
constexpr Duration kMaxRoundInterval = Millis(100);

// Answers at once if the holder needs a snapshot, or if it is behind and a
// round is due. Otherwise keeps the poll, until the next round if the holder is
// behind and for kLongPollTimeout if it is not.
std::vector<SendMessage>
HandleConfigFetch(ConfigPolls& aPolls,
                  MonoTime aNow,
                  const ConfigHistory& aHistory,
                  const PeerAddress& aFrom,
                  const ConfigFetch& aFetch);

// Answers polls that have timed out and, when a round is due, those of holders
// that are behind. Call it after every change and at NextPollDue.
std::vector<SendMessage>
AnswerPolls(ConfigPolls& aPolls, MonoTime aNow, const ConfigHistory& aHistory);

// When to call AnswerPolls next. May be too early, never too late.
MonoTime
NextPollDue(const ConfigPolls& aPolls);

} // namespace caraway
