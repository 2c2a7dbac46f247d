// Guards against a crowd for which ordinary callers pay: connections that are
// closed must be those that hold too much, stopped or do nothing.
#define BOOST_TEST_MODULE connections_holding
#include <boost/test/unit_test.hpp>

#include "caraway/connections/holding.h"

using namespace caraway;

namespace {

using Ids = std::vector<uint64_t>;

HeldConnection
Held(uint64_t aId,
     ConnectionUse aUse,
     size_t aAhead,
     size_t aHeld,
     Duration aStill)
{
  return { aId, aUse, aAhead, aHeld, aStill };
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_closed_within_the_limits)
{
  HoldingLimits limits;
  limits.mConnections = 2;
  limits.mBytes = 100;
  const std::vector<HeldConnection> held{
    Held(1, ConnectionUse::eSending, 50, 50, Seconds(100)),
    Held(2, ConnectionUse::eIdle, 0, 50, Seconds(100)),
  };
  BOOST_TEST(ConnectionsToClose(held, limits).empty());
}

BOOST_AUTO_TEST_CASE(bytes_sent_ahead_go_first_and_uploads_that_move_stay)
{
  HoldingLimits limits;
  limits.mBytes = 1000;
  const std::vector<HeldConnection> held{
    Held(1, ConnectionUse::eReceiving, 0, 900, Millis(10)), // an upload
    Held(2, ConnectionUse::eServing, 30, 40, Millis(10)),
    Held(3, ConnectionUse::eSending, 200, 300, Millis(10)),
    Held(4, ConnectionUse::eServing, 0, 500, Seconds(50)), // waits for a target
    Held(5, ConnectionUse::eReceiving, 0, 400, Seconds(6)),
    Held(6, ConnectionUse::eReceiving, 0, 10, Seconds(60)),
  };
  BOOST_TEST(ConnectionsToClose(held, limits) == (Ids{ 3, 2, 5, 6 }),
             boost::test_tools::per_element());
  limits.mBytes = 1800;
  BOOST_TEST(ConnectionsToClose(held, limits) == (Ids{ 3, 2, 5 }),
             boost::test_tools::per_element());
}

// Uploads that move hold too much; closing slow readers would free nothing.
BOOST_AUTO_TEST_CASE(connection_that_holds_nothing_is_not_closed_for_bytes)
{
  HoldingLimits limits;
  limits.mBytes = 1000;
  const std::vector<HeldConnection> held{
    Held(1, ConnectionUse::eReceiving, 0, 1200, Millis(10)),
    Held(2, ConnectionUse::eSending, 0, 0, Seconds(50)),
    Held(3, ConnectionUse::eSending, 0, 1, Seconds(50)),
  };
  BOOST_TEST(ConnectionsToClose(held, limits) == Ids{ 3 },
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(places_are_taken_from_idle_connections_then_stopped_ones)
{
  HoldingLimits limits;
  limits.mConnections = 3;
  const std::vector<HeldConnection> held{
    Held(1, ConnectionUse::eIdle, 0, 0, Millis(1)), // has just connected
    Held(2, ConnectionUse::eIdle, 0, 0, Seconds(9)),
    Held(3, ConnectionUse::eReceiving, 0, 9, Seconds(3)),
    Held(4, ConnectionUse::eServing, 0, 9, Seconds(90)),
    Held(5, ConnectionUse::eSending, 0, 9, Seconds(6)),
  };
  BOOST_TEST(ConnectionsToClose(held, limits) == (Ids{ 2, 1 }),
             boost::test_tools::per_element());
  limits.mConnections = 1;
  BOOST_TEST(ConnectionsToClose(held, limits) == (Ids{ 2, 1, 5 }),
             boost::test_tools::per_element());
}
