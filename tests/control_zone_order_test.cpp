// Guards against an order to end an evacuation that waits in a frozen entry and
// is carried out after a later evacuation of the same zone.
#define BOOST_TEST_MODULE control_zone_order
#include <boost/test/unit_test.hpp>

#include "tests/control_entry.h"

using namespace caraway;

namespace {

const ZoneId kZone("z1");

struct ZoneGroup
{
  ControlLink mLink{ 3 };
  ControlEntry mEntry{ mLink };

  ZoneGroup()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mEntry.RegisterAtLeader();
    mLink.Run(Millis(200));
  }

  const ConfigView& View()
  {
    return mLink.LeaderControl().mState.mConfig.mView;
  }

  // True if the order is acknowledged.
  bool Order(bool aInService, Revision aSeen)
  {
    const auto reply = mEntry.Call(OrderZone{ { kZone, aInService }, aSeen });
    BOOST_REQUIRE(reply.has_value());
    return std::holds_alternative<CallDone>(*reply);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(order_that_was_overtaken_changes_nothing, ZoneGroup)
{
  const Revision before = View().mRevision;
  BOOST_TEST(Order(false, before));
  const Revision evacuated = View().mRevision;
  BOOST_TEST(Order(true, evacuated));
  BOOST_TEST(Order(false, View().mRevision));
  // Sent after the first evacuation, and held up since.
  BOOST_TEST(!Order(true, evacuated));
  BOOST_TEST(!ZoneInService(View(), kZone));
  BOOST_TEST(Order(true, View().mRevision));
  BOOST_TEST(ZoneInService(View(), kZone));
}

// An order that is sent again, through an entry that has not seen its effect
// yet, is acknowledged again.
BOOST_FIXTURE_TEST_CASE(order_that_holds_already_is_acknowledged, ZoneGroup)
{
  const Revision before = View().mRevision;
  BOOST_TEST(Order(false, before));
  const Revision evacuated = View().mRevision;
  BOOST_TEST(Order(false, before));
  BOOST_TEST((View().mRevision == evacuated));
}

// Changes of other objects do not overtake it.
BOOST_FIXTURE_TEST_CASE(other_changes_do_not_matter, ZoneGroup)
{
  const Revision before = View().mRevision;
  BOOST_TEST(
    mLink.Write("PUT", "/admin/contracts/w", R"({"rate":10,"burst":20})")
      .mStatus == 200);
  BOOST_TEST(Order(false, before));
  BOOST_TEST(!ZoneInService(View(), kZone));
}
