#pragma once
// Distribution of the configuration: long polls of holders, answered by any
// replica with deltas or, for holders far behind, with snapshot parts.

#include <map>
#include <vector>

#include "caraway/base/role_io.h"
#include "caraway/config/operations.h"
#include "caraway/wire/session_messages.h"

namespace caraway {

struct ConfigPoll
{
  ConfigFetch mFetch;
  MonoTime mDue; // answered at this time even if nothing is new
};

// A snapshot being handed out, kept while holders fetch its parts.
struct CachedSnapshot
{
  Revision mRevision; // none: not built
  std::vector<ConfigChange> mChanges;
  MonoTime mLastUsed;
};

struct ConfigPolls
{
  std::map<PeerAddress, ConfigPoll> mPolls; // one per holder
  std::map<ConfigScope, CachedSnapshot> mSnapshots;
  MonoTime mNextDue = kNever;  // at or before the first due poll
  MonoTime mNextRound{ 0 };    // changes before then wait for each other
  uint64_t mDeltas = 0;        // answers with changes, for metrics
  uint64_t mSnapshotParts = 0; // for metrics
};

constexpr Duration kLongPollTimeout = Seconds(1);
constexpr Duration kSnapshotCacheTtl =
  Seconds(10); // after its last part was read
// After a round of answers to holders, changes are collected for this time per
// holder, and for the longest time at most: when a whole fleet starts, each of
// its registrations is a change that all holders are told of.
constexpr Duration kRoundIntervalPerHolder = Millis(1);
constexpr Duration kMaxRoundInterval = Millis(100);

// Answers if the holder is behind, at the next round if it lacks the latest
// changes only; otherwise keeps the poll.
std::vector<SendMessage>
HandleConfigFetch(ConfigPolls& aPolls,
                  MonoTime aNow,
                  const ConfigHistory& aHistory,
                  const PeerAddress& aFrom,
                  const ConfigFetch& aFetch);

// Answers polls that are due or behind. Call it after every change and at
// NextPollDue.
std::vector<SendMessage>
AnswerPolls(ConfigPolls& aPolls, MonoTime aNow, const ConfigHistory& aHistory);

// May be too early, never too late.
MonoTime
NextPollDue(const ConfigPolls& aPolls);

} // namespace caraway
