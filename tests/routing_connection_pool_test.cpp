// Guards the reuse of connections to targets: a request lost to a connection
// that the target has closed, an answer to an earlier request taken for the
// next one's, and idle connections that use up what a target accepts.
#define BOOST_TEST_MODULE routing_connection_pool
#include <boost/test/unit_test.hpp>

#include "caraway/routing/connection_pool.h"

using namespace caraway;

namespace {

constexpr MonoTime kStart{ 1000000 };

std::vector<ConnectionId>
Keep(ConnectionPool& aPool,
     uint64_t aId,
     const std::string& aAddress,
     MonoTime aUseUntil = kStart + Seconds(4),
     uint32_t aLimit = 2)
{
  return KeepIdle(
    aPool,
    { ConnectionId(aId), aAddress, RequestId("r-old"), aUseUntil },
    aLimit);
}

uint64_t
Take(ConnectionPool& aPool,
     const std::string& aAddress,
     MonoTime aNow = kStart,
     const char* aRequest = "r-new")
{
  const auto id = TakeIdle(aPool, aNow, aAddress, RequestId(aRequest));
  return id ? id->mValue : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(newest_connection_of_the_target_is_taken_once)
{
  ConnectionPool pool;
  Keep(pool, 1, "a:1");
  Keep(pool, 2, "a:1");
  Keep(pool, 3, "b:1");
  BOOST_TEST(Take(pool, "a:1") == 2u);
  BOOST_TEST(Take(pool, "a:1") == 1u);
  BOOST_TEST(Take(pool, "a:1") == 0u);
  BOOST_TEST(Take(pool, "b:1") == 3u);
}

BOOST_AUTO_TEST_CASE(connection_is_not_taken_once_the_target_may_close_it)
{
  ConnectionPool pool;
  Keep(pool, 1, "a:1", kStart + Seconds(1));
  BOOST_TEST(Take(pool, "a:1", kStart + Seconds(1)) == 0u);
  BOOST_TEST((NextExpiry(pool) == kStart + Seconds(1)));
  BOOST_TEST(DropExpired(pool, kStart + Seconds(1)).size() == 1u);
  BOOST_TEST((NextExpiry(pool) == kNever));
}

BOOST_AUTO_TEST_CASE(reuse_ends_before_the_stated_idle_time)
{
  const auto reuse = [](const char* aValue) {
    return ReuseTime(StatedIdleTime({ { "keep-alive", aValue } }));
  };
  for (int64_t seconds = 1; seconds < 60; ++seconds) {
    const std::string text = std::to_string(seconds);
    // A target that rounds up closes up to a second before.
    BOOST_TEST(
      (reuse(text.c_str()) <= std::max(Seconds(seconds - 1), Millis(500))));
    BOOST_TEST((reuse(("timeout=" + text).c_str()) == reuse(text.c_str())));
  }
  BOOST_TEST((reuse("timeout=5, max=100") == Seconds(4)));
  BOOST_TEST((reuse("max=100, timeout=5") == Seconds(4)));
  BOOST_TEST((reuse("0") == Duration{}));
  BOOST_TEST((reuse("soon") == ReuseTime(std::nullopt)));
}

BOOST_AUTO_TEST_CASE(same_request_never_follows_its_own_answer)
{
  ConnectionPool pool;
  Keep(pool, 1, "a:1");
  BOOST_TEST(Take(pool, "a:1", kStart, "r-old") == 0u);
  BOOST_TEST(Take(pool, "a:1", kStart, "r-new") == 1u);
}

BOOST_AUTO_TEST_CASE(idle_connections_stay_within_their_limits)
{
  ConnectionPool pool;
  BOOST_TEST(Keep(pool, 1, "a:1", kStart, 0).size() == 1u);
  Keep(pool, 2, "a:1");
  Keep(pool, 3, "a:1");
  const auto closed = Keep(pool, 4, "a:1");
  BOOST_REQUIRE(closed.size() == 1u);
  BOOST_TEST(closed[0].mValue == 2u);
  for (uint64_t id = 5; id < 5 + 3 * kMaxIdleConnections; ++id) {
    Keep(pool, id, "t:" + std::to_string(id));
  }
  BOOST_TEST(pool.mIdle.size() == kMaxIdleConnections);
}

BOOST_AUTO_TEST_CASE(all_entries_together_leave_most_connections_to_calls)
{
  for (const uint32_t entries : { 1U, 21U, 60U, 390U }) {
    for (const uint32_t most : { 0U, 20U, 190U, 320U }) {
      BOOST_TEST(IdleLimit(most, 8, entries) * entries <= most / 4);
    }
  }
  BOOST_TEST(IdleLimit(190, 6, 21) == 2u);
  BOOST_TEST(IdleLimit(1000, 8, 1) == 8u);
}

BOOST_AUTO_TEST_CASE(call_that_may_not_run_again_gets_its_own_connection)
{
  BOOST_TEST(!MayUseIdle(false, 0, 3));
  BOOST_TEST(!MayUseIdle(true, 0, 1));
  BOOST_TEST(MayUseIdle(true, 0, 2));
  BOOST_TEST(!MayUseIdle(true, 1, 2));
}

BOOST_AUTO_TEST_CASE(failure_drops_all_connections_to_the_target)
{
  ConnectionPool pool;
  Keep(pool, 1, "a:1");
  Keep(pool, 2, "b:1");
  Keep(pool, 3, "a:1");
  BOOST_TEST(DropTarget(pool, "a:1").size() == 2u);
  BOOST_TEST(Take(pool, "a:1") == 0u);
  BOOST_TEST(Take(pool, "b:1") == 2u);
}
