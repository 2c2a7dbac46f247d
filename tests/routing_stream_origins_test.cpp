// Guards against records of streams that grow without bound, or that name a
// version which did not begin the stream.
#define BOOST_TEST_MODULE routing_stream_origins
#include <boost/test/unit_test.hpp>

#include "caraway/routing/stream_origins.h"

using namespace caraway;

namespace {

StreamOrigin
Origin(const char* aVersion)
{
  return { ServiceId("s"), aVersion };
}

} // namespace

BOOST_AUTO_TEST_CASE(endless_streams_keep_within_the_capacity)
{
  StreamOrigins origins(100);
  for (uint64_t stream = 1; stream <= 10000; ++stream) {
    NoteOrigin(origins,
               MonoTime{ static_cast<int64_t>(stream) },
               StreamId(stream),
               Origin(("v" + std::to_string(stream)).c_str()));
    BOOST_REQUIRE(origins.mRecords.size() <= 100u);
    BOOST_REQUIRE(origins.mOrder.size() <= 100u);
    BOOST_REQUIRE(origins.mOrigins.size() <= 1024u);
    BOOST_REQUIRE((OriginOf(origins, StreamId(stream))->mVersion ==
                   "v" + std::to_string(stream)));
  }
  BOOST_TEST(!OriginOf(origins, StreamId(1)).has_value());
}

BOOST_AUTO_TEST_CASE(old_records_are_dropped_and_renewed_ones_stay)
{
  StreamOrigins origins(100);
  const MonoTime start{ 1 };
  NoteOrigin(origins, start, StreamId(1), Origin("v1"));
  NoteOrigin(origins, start, StreamId(2), Origin("v1"));
  NoteOrigin(origins, start + Seconds(30), StreamId(2), Origin("v1"));
  NoteOrigin(origins, start + Seconds(70), StreamId(3), Origin("v1"));
  BOOST_TEST(!OriginOf(origins, StreamId(1)).has_value());
  BOOST_TEST(OriginOf(origins, StreamId(2)).has_value());
}

BOOST_AUTO_TEST_CASE(stream_noted_at_two_versions_is_not_known)
{
  StreamOrigins origins(100);
  NoteOrigin(origins, MonoTime{ 1 }, StreamId(1), Origin("v1"));
  NoteOrigin(origins, MonoTime{ 2 }, StreamId(1), Origin("v2"));
  BOOST_TEST(!OriginOf(origins, StreamId(1)).has_value());
}
