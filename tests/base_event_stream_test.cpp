// Guards resumed streams: only complete events are passed on, and a stream
// resumes after the id of the last complete event.
#define BOOST_TEST_MODULE base_event_stream
#include <boost/test/unit_test.hpp>

#include "caraway/base/event_stream.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(only_complete_events_pass_for_any_chunk_size)
{
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata";
  for (size_t step = 1; step <= text.size(); ++step) {
    EventStream stream;
    std::string passed;
    for (size_t at = 0; at < text.size(); at += step) {
      passed +=
        TakeWholeEvents(stream, std::string_view(text).substr(at, step));
    }
    BOOST_TEST(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(*stream.mLast == 2u);
    BOOST_TEST(stream.mEvents == 2u);
    BOOST_TEST(stream.mPending == "id: 3\ndata");
  }
}

BOOST_AUTO_TEST_CASE(data_of_events_is_joined_by_line_feeds)
{
  BOOST_TEST(EventData("id: 1\ndata: a\n\nid: 2\ndata: b c\n\n") == "a\nb c");
  BOOST_TEST(EventData("id:1\r\ndata:x\r\n\r\n") == "x");
  BOOST_TEST(EventData(": comment\n\n").empty());
}

BOOST_AUTO_TEST_CASE(event_without_id_keeps_the_previous_id)
{
  EventStream stream;
  TakeWholeEvents(stream, "id: 4\ndata: a\n\ndata: b\n\n");
  BOOST_TEST(*stream.mLast == 4u);
  BOOST_TEST(stream.mEvents == 2u);
}

// A target that sent comments for ever was taken for one that makes progress.
BOOST_AUTO_TEST_CASE(comments_are_passed_on_and_count_as_no_event)
{
  EventStream stream;
  BOOST_TEST(TakeWholeEvents(stream, ":a\n\n") == ":a\n\n");
  BOOST_TEST(TakeWholeEvents(stream, ": b\r\n\r\n\n") == ": b\r\n\r\n\n");
  BOOST_TEST(stream.mEvents == 0u);
  BOOST_TEST(TakeWholeEvents(stream, ":a\ndata: 1\n:b\n\n") ==
             ":a\ndata: 1\n:b\n\n");
  BOOST_TEST(stream.mEvents == 1u);
}

// Each piece was searched together with all bytes before it.
BOOST_AUTO_TEST_CASE(end_of_an_event_is_found_across_pieces)
{
  for (const std::string end : { "\n\n", "\r\n\r\n" }) {
    EventStream stream;
    const std::string event = "id: 1\ndata: a" + end;
    std::string whole;
    for (const char byte : event + event) {
      whole += TakeWholeEvents(stream, std::string(1, byte));
    }
    BOOST_TEST(whole == event + event);
    BOOST_TEST(stream.mEvents == 2u);
    BOOST_TEST(stream.mPending.empty());
  }
}
