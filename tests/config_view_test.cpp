// Guards against a configuration copy that reverts to an older revision or
// restores a withdrawn key.
#define BOOST_TEST_MODULE config_view
#include <boost/test/unit_test.hpp>

#include "caraway/config/config_view.h"

using namespace caraway;

namespace {

RevisedChange
At(uint64_t aRevision, ConfigChange aChange)
{
  return { Revision(aRevision), std::move(aChange) };
}

ApiKey
Key(const char* aId)
{
  ApiKey key;
  key.mId = KeyId(aId);
  key.mWorkspace = WorkspaceId("w");
  return key;
}

} // namespace

BOOST_AUTO_TEST_CASE(old_changes_are_ignored)
{
  ConfigView view;
  ApplyChange(view, At(5, SetZoneService{ ZoneId("a"), false }));
  ApplyChange(view, At(4, SetZoneService{ ZoneId("a"), true }));
  ApplyChange(view, At(5, SetZoneService{ ZoneId("a"), true }));
  BOOST_TEST(!ZoneInService(view, ZoneId("a")));
  BOOST_TEST(view.mRevision.mValue == 5u);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stays_withdrawn)
{
  ConfigView view;
  ApplyChange(view, At(1, CreateKey{ Key("k") }));
  ApplyChange(view, At(2, WithdrawKey{ KeyId("k") }));
  ApplyChange(view, At(3, CreateKey{ Key("k") }));
  BOOST_TEST(view.mKeys.at(KeyId("k")).mWithdrawn);
}

BOOST_AUTO_TEST_CASE(withdrawn_contract_ends_its_keys)
{
  ConfigView view;
  Contract contract;
  contract.mWorkspace = WorkspaceId("w");
  ApplyChange(view, At(1, SetContract{ contract }));
  ApplyChange(view, At(2, CreateKey{ Key("k") }));
  ApplyChange(view, At(3, WithdrawContract{ WorkspaceId("w") }));
  BOOST_TEST(view.mKeys.at(KeyId("k")).mWithdrawn);
  BOOST_TEST(view.mContracts.at(WorkspaceId("w")).mWithdrawn);
}

BOOST_AUTO_TEST_CASE(snapshot_rebuilds_the_view_and_never_reverts)
{
  ConfigView view;
  ApplyChange(view, At(1, CreateKey{ Key("k") }));
  ApplyChange(view, At(2, WithdrawKey{ KeyId("k") }));
  ApplyChange(view, At(3, SetTargetService{ TargetId("t"), false }));
  ConfigView copy;
  BOOST_REQUIRE(ApplySnapshot(copy,
                              view.mRevision,
                              SnapshotChanges(view, ConfigScope::eAll))
                  .ok());
  BOOST_TEST(copy.mKeys.at(KeyId("k")).mWithdrawn);
  BOOST_TEST(!TargetInService(copy, TargetId("t")));
  BOOST_TEST(copy.mRevision.mValue == 3u);
  BOOST_TEST(!ApplySnapshot(copy, Revision(2), {}).ok());
  BOOST_TEST(copy.mKeys.contains(KeyId("k")));
}

// A node that catches up by a snapshot must still learn which keys were
// withdrawn, to cancel their requests.
BOOST_AUTO_TEST_CASE(node_snapshot_carries_withdrawals)
{
  ConfigView view;
  ApplyChange(view, At(1, CreateKey{ Key("live") }));
  ApplyChange(view, At(2, CreateKey{ Key("gone") }));
  ApplyChange(view, At(3, WithdrawKey{ KeyId("gone") }));
  ConfigView node;
  BOOST_REQUIRE(ApplySnapshot(node,
                              view.mRevision,
                              SnapshotChanges(view, ConfigScope::eNodeOnly))
                  .ok());
  BOOST_REQUIRE(node.mKeys.contains(KeyId("gone")));
  BOOST_TEST(node.mKeys.at(KeyId("gone")).mWithdrawn);
  BOOST_TEST(!node.mKeys.contains(KeyId("live")));
}

BOOST_AUTO_TEST_CASE(old_epoch_cannot_remove_a_restarted_member)
{
  ConfigView view;
  Member member;
  member.mInstance = InstanceId("node-1");
  member.mEpoch = Epoch(9);
  ApplyChange(view, At(1, SetMember{ member }));
  ApplyChange(view, At(2, RemoveMember{ InstanceId("node-1"), Epoch(8) }));
  BOOST_TEST(view.mMembers.contains(InstanceId("node-1")));
  ApplyChange(view, At(3, RemoveMember{ InstanceId("node-1"), Epoch(9) }));
  BOOST_TEST(!view.mMembers.contains(InstanceId("node-1")));
}
