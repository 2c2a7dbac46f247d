// Guards against revisions reported in force while a holder still acts on an
// older one, and against the removal of live members.
#define BOOST_TEST_MODULE membership_sessions
#include <boost/test/unit_test.hpp>

#include "caraway/membership/sessions.h"

using namespace caraway;

namespace {

constexpr Duration kLease = Seconds(3);
const MonoTime kStart{ 100000000 };

ConfigView
ViewWith(std::initializer_list<std::pair<const char*, const char*>> aMembers)
{
  ConfigView view;
  view.mRevision = Revision(5);
  uint64_t epoch = 1;
  for (const auto& [instance, zone] : aMembers) {
    Member member;
    member.mInstance = InstanceId(instance);
    member.mEpoch = Epoch(epoch++);
    member.mZone = ZoneId(zone);
    view.mMembers[member.mInstance] = member;
  }
  return view;
}

Renew
RenewOf(const char* aInstance, uint64_t aEpoch, uint64_t aRevision)
{
  Renew renew;
  renew.mInstance = InstanceId(aInstance);
  renew.mEpoch = Epoch(aEpoch);
  renew.mRevision = Revision(aRevision);
  return renew;
}

} // namespace

BOOST_AUTO_TEST_CASE(new_leader_waits_for_leases_of_the_former_one)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({ { "a", "z1" } }));
  BOOST_TEST(ReportInForce(sessions, kStart, Revision(5)).mValue == 0u);
  const MonoTime end = GrantorLeaseEnd(kStart, kLease);
  BOOST_TEST(ReportInForce(sessions, end - Micros(1), Revision(5)).mValue ==
             0u);
  BOOST_TEST(ReportInForce(sessions, end, Revision(5)).mValue == 5u);
}

BOOST_AUTO_TEST_CASE(replaced_session_counts_until_its_lease_ends)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({ { "a", "z1" } }));
  HandleRenew(sessions, kStart, RenewOf("a", 1, 5), Revision(5));
  SessionEnded(sessions, kStart, InstanceId("a"), Epoch(1), false);
  SessionStarted(sessions, kStart, InstanceId("a"), Epoch(9), Revision(6));
  HandleRenew(sessions, kStart, RenewOf("a", 9, 6), Revision(6));
  BOOST_TEST(ReportInForce(sessions, kStart, Revision(6)).mValue == 5u);
  const MonoTime end = GrantorLeaseEnd(kStart, kLease);
  BOOST_TEST(ReportInForce(sessions, end, Revision(6)).mValue == 6u);
}

BOOST_AUTO_TEST_CASE(holder_that_does_not_fetch_gets_no_further_lease)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({ { "a", "z1" } }));
  RevisionApplied(sessions, kStart, Revision(6));
  const Renew old = RenewOf("a", 1, 5);
  auto early = HandleRenew(sessions, kStart + Seconds(1), old, Revision(6));
  BOOST_TEST((early.mVerdict == RenewVerdict::eGranted));
  auto late = HandleRenew(sessions, kStart + Seconds(2), old, Revision(6));
  BOOST_TEST((late.mVerdict == RenewVerdict::eRevisionTooOld));
  const MonoTime end = GrantorLeaseEnd(kStart + Seconds(1), kLease);
  BOOST_TEST(ReportInForce(sessions, end, Revision(6)).mValue == 6u);
}

BOOST_AUTO_TEST_CASE(no_lease_below_a_revision_reported_in_force)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({}));
  RevisionApplied(sessions, kStart, Revision(6));
  BOOST_TEST(ReportInForce(sessions, kStart, Revision(6)).mValue == 6u);
  SessionStarted(sessions, kStart, InstanceId("b"), Epoch(9), Revision(5));
  auto reply = HandleRenew(sessions, kStart, RenewOf("b", 9, 5), Revision(6));
  BOOST_TEST((reply.mVerdict == RenewVerdict::eRevisionTooOld));
}

BOOST_AUTO_TEST_CASE(renewal_of_an_older_session_is_refused)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({ { "a", "z1" } }));
  auto reply = HandleRenew(sessions, kStart, RenewOf("a", 7, 5), Revision(5));
  BOOST_TEST((reply.mVerdict == RenewVerdict::eUnknownSession));
}

BOOST_AUTO_TEST_CASE(lost_member_is_removed_after_lease_and_grace)
{
  Sessions sessions;
  const ConfigView view =
    ViewWith({ { "a", "z1" }, { "b", "z1" }, { "c", "z1" } });
  StartSessions(sessions, kStart, kLease, view);
  const MonoTime renewed = kStart + Seconds(2);
  HandleRenew(sessions, renewed, RenewOf("a", 1, 5), Revision(5));
  HandleRenew(sessions, renewed, RenewOf("b", 2, 5), Revision(5));
  const MonoTime due = GrantorLeaseEnd(kStart, kLease) + Seconds(2);
  BOOST_TEST(LostMembers(sessions, due - Micros(1), Seconds(2), view).empty());
  auto lost = LostMembers(sessions, due, Seconds(2), view);
  BOOST_REQUIRE(lost.size() == 1u);
  BOOST_TEST(lost[0].mInstance.mValue == "c");
  BOOST_TEST(LostMembers(sessions, due, Seconds(2), view).empty());
}

BOOST_AUTO_TEST_CASE(mass_lease_expiry_in_two_zones_delays_removal)
{
  Sessions sessions;
  const ConfigView view =
    ViewWith({ { "a", "z1" }, { "b", "z2" }, { "c", "z3" } });
  StartSessions(sessions, kStart, kLease, view);
  const MonoTime expired = GrantorLeaseEnd(kStart, kLease);
  const MonoTime due = expired + Seconds(2);
  BOOST_TEST(LostMembers(sessions, expired, Seconds(2), view).empty());
  BOOST_TEST(LostMembers(sessions, due, Seconds(2), view).empty());
  // One member renews in time and is not removed.
  HandleRenew(sessions, due, RenewOf("a", 1, 5), Revision(5));
  BOOST_TEST(
    LostMembers(sessions, expired + Millis(4999), Seconds(2), view).empty());
  BOOST_TEST(
    LostMembers(sessions, expired + Seconds(5), Seconds(2), view).size() == 2u);
}

// A change that an operator was told is in force binds an entry that starts
// right after it, however young the change is.
BOOST_AUTO_TEST_CASE(new_session_gets_no_lease_below_what_was_acknowledged)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({}));
  RevisionApplied(sessions, kStart, Revision(6));
  SessionStarted(
    sessions, kStart + Millis(1), InstanceId("a"), Epoch(9), Revision(7));
  const MonoTime now = kStart + Millis(2);
  for (const uint64_t held : { 0U, 5U, 6U }) {
    const auto reply =
      HandleRenew(sessions, now, RenewOf("a", 9, held), Revision(7));
    BOOST_TEST((reply.mVerdict == RenewVerdict::eRevisionTooOld));
  }
  const auto reply =
    HandleRenew(sessions, now, RenewOf("a", 9, 7), Revision(7));
  BOOST_TEST((reply.mVerdict == RenewVerdict::eGranted));
}

// Guards against a lease for a copy that has the revision of the newest
// configuration and not its content.
BOOST_AUTO_TEST_CASE(copy_that_differs_at_its_revision_gets_no_lease)
{
  Sessions sessions;
  StartSessions(sessions, kStart, kLease, ViewWith({ { "a", "z1" } }));
  constexpr uint64_t kDigest = 77;
  Renew renew = RenewOf("a", 1, 5);
  const auto verdict = [&](uint64_t aDigest) {
    renew.mDigest = aDigest;
    return HandleRenew(sessions, kStart, renew, Revision(5), kDigest).mVerdict;
  };
  BOOST_TEST((verdict(kDigest) == RenewVerdict::eGranted));
  BOOST_TEST((verdict(kDigest + 1) == RenewVerdict::eCopyDiffers));
  BOOST_TEST((verdict(0) == RenewVerdict::eGranted)); // not stated
}
