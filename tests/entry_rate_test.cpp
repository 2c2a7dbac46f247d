// Guards targets that state the rate of requests they take against more than
// that from all entries together: each entry alone sees a small part of the
// requests, and one of them may be lost or cut off.
#define BOOST_TEST_MODULE entry_rate
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>

#include "direct_fixture.h"

using namespace caraway;

namespace {

constexpr Duration kStep = Millis(20);
constexpr Duration kJudged = Seconds(4); // the target counts over this window
// From the first answer that states a rate until the rate is judged.
constexpr Duration kLearned = Seconds(3);

// An entry with a plan of one service whose targets have no nodes.
struct PlainEntry : EntryRig
{
  PlainEntry(const std::string& aName, size_t aEntries, size_t aTargets)
    : EntryRig(aName, aName)
  {
    mEntry.mSettings.mServeWithoutLease = true;
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = ServiceId("plain");
    PlanRoute route = MakeRoute("look", CallKind::eIdempotent, false, 2);
    route.mShares = { { ServiceId("plain"), 1 } };
    route.mOpen = true;
    plan.mRoutes = { route };
    Change(SetPlan{ plan });
    for (size_t at = 0; at < aEntries; ++at) {
      AddEntry(at);
    }
    for (size_t at = 0; at < aTargets; ++at) {
      SetStart(at, 1);
    }
  }

  void AddEntry(size_t aAt)
  {
    Member member;
    member.mInstance = InstanceId("e" + std::to_string(aAt));
    member.mEpoch = Epoch(1000 + aAt);
    member.mAddress = PeerAddress(member.mInstance.mValue);
    member.mZone = ZoneId("a");
    Change(SetMember{ member });
  }

  void SetStart(size_t aTarget, int64_t aStart)
  {
    Target target;
    target.mId = TargetId("t" + std::to_string(aTarget));
    target.mService = ServiceId("plain");
    target.mAddress = "10.0.0.1:" + std::to_string(100 + aTarget);
    target.mZone = ZoneId("a");
    target.mSlots = 8;
    target.mStartedAt = aStart;
    Change(SetTarget{ target });
  }

  uint64_t SendPlain()
  {
    ForwardRequest request;
    const uint64_t call = mNextCall++;
    request.mCall = HttpCallId(call);
    request.mId =
      RequestId(mEntry.mSettings.mInstance.mValue + "-" + std::to_string(call));
    request.mHost = "h";
    request.mMethod = "POST";
    request.mPath = "/look/x";
    request.mBody = "body";
    Step(request);
    return call;
  }
};

// Entries, and targets that answer after a while and state a rate. Messages
// between entries take one step.
class EntryFleet
{
public:
  EntryFleet(size_t aEntries, size_t aTargets)
    : mRates(aTargets, 0)
    , mStarts(aTargets)
    , mRandom(11)
  {
    for (size_t at = 0; at < aEntries; ++at) {
      mEntries.push_back(std::make_unique<PlainEntry>(
        "e" + std::to_string(at), aEntries, aTargets));
      mLost.push_back(false);
      mCutOff.push_back(false);
    }
  }

  // Sends requests at random entries for a while.
  void Run(Duration aTime, double aPerSecond)
  {
    for (const MonoTime end = mNow + aTime; mNow < end; mNow = mNow + kStep) {
      mDue += aPerSecond * kStep.Seconds();
      for (; mDue >= 1; mDue -= 1) {
        const size_t at = DrawBelow(mRandom, mEntries.size());
        if (!mLost[at]) {
          mEntries[at]->SendPlain();
          ++mRequests;
        }
      }
      for (size_t at = 0; at < mEntries.size(); ++at) {
        if (!mLost[at]) {
          mEntries[at]->Advance(kStep);
          Collect(at);
        }
      }
      DeliverMessages();
      DeliverAnswers();
    }
  }

  // The entry that most of the others ask for start times at the target.
  size_t Divider(size_t aTarget)
  {
    const TargetId target("t" + std::to_string(aTarget));
    for (size_t at = 0; at < mEntries.size(); ++at) {
      if (mEntries[at]->mEntry.mStartTimes.mTargets.contains(target)) {
        return at;
      }
    }
    BOOST_FAIL("no entry divides the rate");
    return 0;
  }

  void Lose(size_t aEntry) { mLost[aEntry] = true; }

  void RemoveMemberEverywhere(size_t aEntry)
  {
    for (auto& entry : mEntries) {
      entry->Change(RemoveMember{ InstanceId("e" + std::to_string(aEntry)),
                                  Epoch(1000 + aEntry) });
    }
  }

  size_t MostInWindow(size_t aTarget, MonoTime aFrom) const
  {
    size_t most = 0;
    const auto& times = mStarts[aTarget];
    for (auto from = times.begin(); from != times.end(); ++from) {
      if (*from >= aFrom) {
        const auto end =
          std::upper_bound(from, times.end(), *from + kJudged - Micros(1));
        most = std::max<size_t>(most, end - from);
      }
    }
    return most;
  }

  size_t StartsSince(size_t aTarget, MonoTime aFrom) const
  {
    const auto& times = mStarts[aTarget];
    return times.end() - std::lower_bound(times.begin(), times.end(), aFrom);
  }

  size_t EntriesThatKnow(size_t aTarget, double aRate) const
  {
    return std::count_if(
      mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
        const auto& loads = aEntry->mEntry.mPlacement;
        auto load = loads.find(TargetId("t" + std::to_string(aTarget)));
        return load != loads.end() && load->second.mRate.mPerSecond == aRate;
      });
  }

  std::vector<std::unique_ptr<PlainEntry>> mEntries;
  std::vector<double> mRates; // stated by each target, 0: none
  std::vector<std::vector<MonoTime>> mStarts;
  std::vector<bool> mLost;
  std::vector<bool> mCutOff; // from the other entries, not from the targets
  MonoTime mNow{ 1000000 };
  size_t mRequests = 0;

private:
  struct Answer
  {
    MonoTime mAt;
    size_t mEntry = 0;
    StartTargetCall mCall;
    double mRate = 0;
  };

  void Collect(size_t aEntry)
  {
    PlainEntry& entry = *mEntries[aEntry];
    for (const StartTargetCall& call : entry.mTargetCalls) {
      const size_t target = std::stoul(call.mUrl.substr(call.mUrl.size() - 3));
      mStarts[target - 100].push_back(mNow);
      entry.Step(TargetCallSent{ call.mCall });
      mAnswers.push_back(
        { mNow + Millis(100), aEntry, call, mRates[target - 100] });
    }
    entry.mTargetCalls.clear();
    for (auto& [to, message] : entry.mSent) {
      if (to.mValue[0] == 'e') {
        mMessages.push_back({ aEntry, { to, std::move(message) } });
      }
    }
    entry.mSent.clear();
  }

  void DeliverMessages()
  {
    for (auto& [from, sent] : std::exchange(mMessages, {})) {
      const size_t to = std::stoul(sent.first.mValue.substr(1));
      if (!mLost[to] && !mCutOff[to] && !mCutOff[from]) {
        mEntries[to]->Receive(PeerAddress("e" + std::to_string(from)),
                              sent.second);
        Collect(to);
      }
    }
  }

  void DeliverAnswers()
  {
    while (!mAnswers.empty() && mAnswers.front().mAt <= mNow) {
      const Answer answer = std::move(mAnswers.front());
      mAnswers.pop_front();
      if (mLost[answer.mEntry]) {
        continue;
      }
      PlainEntry& entry = *mEntries[answer.mEntry];
      TargetCallBegan began;
      began.mCall = answer.mCall.mCall;
      began.mStatus = 200;
      began.mEchoesRequestId = true;
      began.mAnsweredRequest = answer.mCall.mContext.mRequest;
      if (answer.mRate > 0) {
        began.mStatedRate = answer.mRate;
      }
      entry.Step(began);
      entry.Step(TargetCallEnded{ answer.mCall.mCall });
      Collect(answer.mEntry);
    }
  }

  Random mRandom;
  double mDue = 0;
  std::deque<Answer> mAnswers;
  std::vector<std::pair<size_t, std::pair<PeerAddress, Message>>> mMessages;
};

double
Tolerated(double aRate)
{
  return 1.5 * aRate * kJudged.Seconds() + 5;
}

} // namespace

// More entries than the rate has requests per second: none can tell from its
// own requests that the target gets too many.
BOOST_AUTO_TEST_CASE(rate_is_kept_by_many_entries_together)
{
  for (const size_t entries : { 1, 20, 89 }) {
    EntryFleet fleet(entries, 3);
    fleet.Run(Seconds(2), 60);
    fleet.mRates = { 2.5, 2.5, 2.5 };
    const MonoTime stated = fleet.mNow;
    fleet.Run(Seconds(12), 60);
    for (size_t target = 0; target < 3; ++target) {
      BOOST_TEST(fleet.MostInWindow(target, stated + kLearned) <=
                 2.5 * kJudged.Seconds() + 5);
      BOOST_TEST(fleet.StartsSince(target, stated + kLearned) >= 20u); // in 9 s
    }
  }
}

BOOST_AUTO_TEST_CASE(targets_without_a_rate_take_over)
{
  EntryFleet fleet(20, 3);
  fleet.mRates = { 2.5, 0, 0 };
  const MonoTime start = fleet.mNow;
  fleet.Run(Seconds(10), 20);
  BOOST_TEST(fleet.MostInWindow(0, start + kLearned) <=
             2.5 * kJudged.Seconds() + 5);
  size_t served = 0;
  for (const auto& entry : fleet.mEntries) {
    for (const auto& [call, response] : entry->mResponses) {
      served += response.mStatus == 200 ? 1 : 0;
    }
  }
  BOOST_TEST(served * 100 >= fleet.mRequests * 95);
}

BOOST_AUTO_TEST_CASE(rate_follows_the_target_up_down_and_away)
{
  EntryFleet fleet(20, 1);
  fleet.mRates = { 8 };
  fleet.Run(Seconds(6), 40);
  fleet.mRates = { 2 };
  MonoTime changed = fleet.mNow;
  fleet.Run(Seconds(9), 40);
  BOOST_TEST(fleet.MostInWindow(0, changed + kLearned) <=
             2 * kJudged.Seconds() + 5);
  fleet.mRates = { 8 };
  changed = fleet.mNow;
  fleet.Run(Seconds(9), 40);
  BOOST_TEST(fleet.StartsSince(0, changed + kLearned) >= 30u);
  fleet.mRates = { 0 };
  changed = fleet.mNow;
  fleet.Run(Seconds(6), 40);
  BOOST_TEST(fleet.StartsSince(0, changed + kLearned) >= 100u);
  BOOST_TEST(fleet.EntriesThatKnow(0, 8) == 0u);
}

// Starts are reserved for up to 2 s. As many as the former rate allowed would
// come after the target has stated a far lower one.
BOOST_AUTO_TEST_CASE(starts_reserved_under_a_higher_rate_are_given_up)
{
  for (const size_t entries : { 1, 8 }) {
    EntryFleet fleet(entries, 1);
    fleet.mRates = { 40 };
    fleet.Run(Seconds(6), 60);
    fleet.mRates = { 2 };
    // Its next answer states the lower rate after 0.1 s; callers of the target
    // have half a second from then on.
    const MonoTime judged = fleet.mNow + Millis(600);
    fleet.Run(Seconds(12), 60);
    BOOST_TEST(fleet.MostInWindow(0, judged) <= Tolerated(2));
    BOOST_TEST(fleet.StartsSince(0, judged) >= 20u); // in 11.4 s
  }
}

BOOST_AUTO_TEST_CASE(entries_without_requests_learn_the_rate)
{
  EntryFleet fleet(20, 1);
  fleet.mRates = { 3 };
  fleet.mEntries[4]->SendPlain();
  fleet.Run(Millis(300), 0);
  BOOST_TEST(fleet.EntriesThatKnow(0, 3) == 20u);
}

// The others use their own shares until another entry takes over, which does
// not know the starts that the lost one has reserved.
BOOST_AUTO_TEST_CASE(loss_of_the_dividing_entry_stays_within_the_bound)
{
  EntryFleet fleet(20, 1);
  fleet.mRates = { 4 };
  const MonoTime start = fleet.mNow;
  fleet.Run(Seconds(6), 40);
  const size_t divider = fleet.Divider(0);
  fleet.Lose(divider);
  fleet.Run(Seconds(5), 40);
  BOOST_TEST(fleet.StartsSince(0, fleet.mNow - Seconds(4)) > 0u);
  fleet.RemoveMemberEverywhere(divider);
  fleet.Run(Seconds(8), 40);
  BOOST_TEST(fleet.MostInWindow(0, start + kLearned) <= Tolerated(4));
  BOOST_TEST(fleet.StartsSince(0, fleet.mNow - Seconds(4)) >= 12u);
}

BOOST_AUTO_TEST_CASE(
  entries_cut_off_from_the_dividing_one_stay_within_the_bound)
{
  EntryFleet fleet(20, 1);
  fleet.mRates = { 4 };
  const MonoTime start = fleet.mNow;
  fleet.Run(Seconds(5), 40);
  for (size_t at = 0; at < 20; at += 2) {
    fleet.mCutOff[at] = true;
  }
  fleet.Run(Seconds(8), 40);
  fleet.mCutOff.assign(20, false);
  fleet.Run(Seconds(5), 40);
  BOOST_TEST(fleet.MostInWindow(0, start + kLearned) <= Tolerated(4));
}

BOOST_AUTO_TEST_CASE(new_start_of_the_target_has_no_rate)
{
  EntryFleet fleet(5, 1);
  fleet.mRates = { 2 };
  fleet.Run(Seconds(3), 20);
  BOOST_TEST(fleet.EntriesThatKnow(0, 2) == 5u);
  fleet.mRates = { 0 };
  for (auto& entry : fleet.mEntries) {
    entry->SetStart(0, 2);
  }
  const MonoTime start = fleet.mNow;
  fleet.Run(Seconds(3), 20);
  BOOST_TEST(fleet.StartsSince(0, start) >= 50u);
}

BOOST_AUTO_TEST_CASE(request_beyond_the_rate_is_refused_with_the_time_to_return)
{
  PlainEntry entry("e0", 1, 1);
  uint64_t call = entry.SendPlain();
  TargetCallBegan began;
  began.mCall = entry.mTargetCalls.back().mCall;
  began.mStatus = 200;
  began.mStatedRate = 1;
  entry.Step(began);
  entry.Step(TargetCallEnded{ began.mCall });
  int refused = 0;
  for (int sent = 0; sent < 12; ++sent) {
    call = entry.SendPlain();
    if (entry.Status(call) == 503) {
      ++refused;
      BOOST_TEST(std::stod(entry.HeaderOf(call, "Retry-After")) > 0.1);
    }
  }
  BOOST_TEST(refused == 9); // one starts at once, two more within 2 s
}

BOOST_FIXTURE_TEST_SUITE(with_nodes, Direct)

BOOST_AUTO_TEST_CASE(node_is_told_of_the_rate_and_with_each_request)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("look", call);
  TargetCallBegan began;
  began.mCall = start.mCall;
  began.mStatus = 200;
  began.mStatedRate = 2.5;
  Step(began);
  const auto notices = Sent<RateNotice>();
  BOOST_REQUIRE(notices.size() == 1u);
  BOOST_TEST((notices[0].mTarget == start.mContext.mExpected));
  BOOST_TEST(notices[0].mRate.mPerSecond == 2.5);
  Step(TargetCallEnded{ start.mCall });
  bool told = false;
  for (int sent = 0; sent < 20 && !told; ++sent) {
    SendForward("look");
    for (const SlotRequest& ask : Sent<SlotRequest>()) {
      told = told || (ask.mRate && ask.mRate->mPerSecond == 2.5);
    }
  }
  BOOST_TEST(told);
}

// Without nodes, the entry is one of 4 that call the target without grants.
BOOST_AUTO_TEST_CASE(calls_without_grants_stay_within_the_share_of_the_rate)
{
  for (const char* name : { "e2", "e3", "e4" }) {
    Member member;
    member.mInstance = InstanceId(name);
    member.mEpoch = Epoch(50);
    member.mAddress = PeerAddress(name);
    Change(SetMember{ member });
  }
  LoseNodes();
  for (const char* target : { "t-a1", "t-a2" }) {
    Receive(PeerAddress("e2"),
            RateNotice{ TargetId(target), { 1, 4, Millis(1) } });
  }
  for (int sent = 0; sent < 100; ++sent) {
    SendForward("look");
    Advance(Millis(40));
  }
  // At each of two targets one start in 4 s, of the four that the rate sets
  // aside in that time.
  BOOST_TEST(mTargetCalls.size() <= 4u);
  BOOST_TEST(mTargetCalls.size() >= 2u);
}

BOOST_AUTO_TEST_SUITE_END()
