// Tests the distribution of the configuration: no gap between deltas, snapshot
// parts of bounded size, and the same snapshot order on every replica.
#define BOOST_TEST_MODULE control_polls
#include <boost/test/unit_test.hpp>

#include <map>

#include "caraway/control/config_polls.h"
#include "caraway/wire/messages.h"

using namespace caraway;

namespace {

const MonoTime kNow{ 5000000 };
const PeerAddress kHolder("10.1.0.1:1");

ConfigHistory
HistoryOf(size_t aChanges)
{
  ConfigHistory history;
  for (size_t at = 0; at < aChanges; ++at) {
    Contract contract;
    contract.mWorkspace = WorkspaceId("ws-" + std::to_string(at));
    contract.mModels = { ModelId("tekst-model"), ModelId("wordmill") };
    AppendChange(history, SetContract{ contract });
  }
  return history;
}

// Fetches until the holder is at the history's revision.
size_t
FetchAll(const ConfigHistory& aHistory, ConfigView& aView)
{
  ConfigPolls polls;
  ConfigPolls other; // a second replica, asked in turn
  size_t parts = 0;
  std::vector<ConfigChange> snapshot;
  ConfigFetch fetch;
  while (aView.mRevision < aHistory.mView.mRevision && parts < 1000) {
    fetch.mHeld = aView.mRevision;
    auto answers = HandleConfigFetch(
      parts % 2 == 0 ? polls : other, kNow, aHistory, kHolder, fetch);
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(EncodeMessage(answers[0].mMessage).size() <= kMaxPartBytes);
    ++parts;
    if (auto* delta = std::get_if<ConfigDelta>(&answers[0].mMessage)) {
      BOOST_REQUIRE((delta->mFrom == aView.mRevision));
      for (const RevisedChange& change : delta->mChanges) {
        ApplyChange(aView, change);
      }
      continue;
    }
    auto& part = std::get<ConfigSnapshotPart>(answers[0].mMessage);
    BOOST_REQUIRE(part.mOffset == snapshot.size());
    snapshot.insert(snapshot.end(), part.mChanges.begin(), part.mChanges.end());
    fetch.mSnapshotOffset = snapshot.size();
    fetch.mSnapshotRevision = part.mRevision;
    if (part.mLast) {
      BOOST_REQUIRE(ApplySnapshot(aView, part.mRevision, snapshot).ok());
    }
  }
  return parts;
}

} // namespace

BOOST_AUTO_TEST_CASE(deltas_lead_to_the_newest_revision)
{
  const ConfigHistory history = HistoryOf(6000);
  ConfigView view;
  BOOST_TEST(FetchAll(history, view) > 1u);
  BOOST_TEST(view.mContracts.size() == 6000u);
}

BOOST_AUTO_TEST_CASE(holder_far_behind_gets_a_snapshot_from_two_replicas)
{
  const ConfigHistory history = HistoryOf(kMaxKeptChanges + 500);
  ConfigView view;
  BOOST_TEST(FetchAll(history, view) > 1u);
  BOOST_TEST(view.mContracts.size() == kMaxKeptChanges + 500);
  BOOST_TEST(view.mRevision.mValue == kMaxKeptChanges + 500);
}

BOOST_AUTO_TEST_CASE(long_poll_is_answered_on_change_or_after_a_second)
{
  ConfigHistory history = HistoryOf(3);
  ConfigPolls polls;
  ConfigFetch fetch;
  fetch.mHeld = Revision(3);
  BOOST_TEST(HandleConfigFetch(polls, kNow, history, kHolder, fetch).empty());
  BOOST_TEST((NextPollDue(polls) == kNow + Seconds(1)));
  BOOST_TEST(AnswerPolls(polls, kNow + Millis(999), history).empty());
  AppendChange(history, WithdrawContract{ WorkspaceId("ws-1") });
  auto answers = AnswerPolls(polls, kNow + Millis(999), history);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(std::get<ConfigDelta>(answers[0].mMessage).mChanges.size() == 1u);
  fetch.mHeld = Revision(4);
  HandleConfigFetch(polls, kNow, history, kHolder, fetch);
  answers = AnswerPolls(polls, kNow + Seconds(1), history);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(std::get<ConfigDelta>(answers[0].mMessage).mChanges.empty());
}

// Nodes must not receive key digests.
BOOST_AUTO_TEST_CASE(node_scope_leaves_out_contracts_and_keys)
{
  ConfigHistory history = HistoryOf(1);
  AppendChange(history,
               CreateKey{ { KeyId("ck_1"), {}, WorkspaceId("ws-0") } });
  AppendChange(history, WithdrawKey{ KeyId("ck_1") });
  ConfigPolls polls;
  ConfigFetch fetch;
  fetch.mScope = ConfigScope::eNodeOnly;
  // At its start the node gets a snapshot, afterwards deltas.
  auto answers = HandleConfigFetch(polls, kNow, history, kHolder, fetch);
  BOOST_REQUIRE(answers.size() == 1u);
  const auto& part = std::get<ConfigSnapshotPart>(answers[0].mMessage);
  BOOST_TEST(part.mRevision.mValue == 3u);
  BOOST_REQUIRE(part.mChanges.size() == 1u);
  BOOST_TEST(std::holds_alternative<WithdrawKey>(part.mChanges[0]));
  fetch.mHeld = Revision(1);
  answers = HandleConfigFetch(polls, kNow, history, kHolder, fetch);
  BOOST_REQUIRE(answers.size() == 1u);
  const auto& delta = std::get<ConfigDelta>(answers[0].mMessage);
  BOOST_TEST(delta.mTo.mValue == 3u);
  BOOST_REQUIRE(delta.mChanges.size() == 1u);
  BOOST_TEST(std::holds_alternative<WithdrawKey>(delta.mChanges[0].mChange));
}

// Guards against a replica that is busy for seconds when a whole fleet starts:
// each registration is a change, and sending each one separately to every
// holder is quadratic.
BOOST_AUTO_TEST_CASE(rapid_changes_are_sent_in_rounds)
{
  constexpr int kHolders = 50;
  constexpr int kChanges = 500;
  ConfigHistory history = HistoryOf(1);
  ConfigPolls polls;
  std::map<PeerAddress, Revision> held;
  MonoTime now = kNow;
  const auto ask = [&](const PeerAddress& aHolder) {
    ConfigFetch fetch;
    fetch.mHeld = held[aHolder];
    return HandleConfigFetch(polls, now, history, aHolder, fetch);
  };
  size_t notified = 0;
  const auto take = [&](const std::vector<SendMessage>& aAnswers) {
    for (const SendMessage& answer : aAnswers) {
      if (const auto* delta = std::get_if<ConfigDelta>(&answer.mMessage)) {
        ++notified;
        held[answer.mTo] = delta->mTo;
        BOOST_TEST(ask(answer.mTo).empty()); // waits for the next round
      }
    }
  };
  for (int holder = 0; holder < kHolders; ++holder) {
    const PeerAddress address("h:" + std::to_string(holder));
    held[address] = history.mView.mRevision;
    ask(address);
  }
  for (int change = 0; change < kChanges; ++change) { // two per millisecond
    Contract contract;
    contract.mWorkspace = WorkspaceId("new-" + std::to_string(change));
    AppendChange(history, SetContract{ contract });
    take(AnswerPolls(polls, now, history));
    now = now + Micros(500);
  }
  // 250 ms in rounds of 50 ms; sending each change separately takes 25,000
  // deltas.
  BOOST_TEST(notified <= 6u * kHolders);
  // Every holder has all changes one round after the last one.
  while (NextPollDue(polls) <= now + kMaxRoundInterval) {
    now = std::max(now, NextPollDue(polls));
    take(AnswerPolls(polls, now, history));
  }
  for (const auto& [holder, revision] : held) {
    BOOST_TEST((revision == history.mView.mRevision));
  }
}

BOOST_AUTO_TEST_CASE(single_change_is_sent_at_once)
{
  ConfigHistory history = HistoryOf(1);
  ConfigPolls polls;
  ConfigFetch fetch;
  fetch.mHeld = history.mView.mRevision;
  BOOST_TEST(HandleConfigFetch(polls, kNow, history, kHolder, fetch).empty());
  AppendChange(history, SetContract{});
  BOOST_TEST(AnswerPolls(polls, kNow, history).size() == 1u);
}
