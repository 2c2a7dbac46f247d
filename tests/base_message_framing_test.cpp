// Guards against messages that two readers frame differently: one caller's
// bytes would become another caller's request, and an answer that was broken
// off would look whole.
#define BOOST_TEST_MODULE base_message_framing
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "caraway/base/message_reader.h"

using namespace caraway;

namespace {

struct Case
{
  const char* mSection; // of RFC 9112, or of RFC 9110 where it says so
  std::string mBytes;
  bool mValid;
  int mStatus = 400; // of an invalid request
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.mSection << ": " << aCase.mBytes;
}

std::string
Post(const std::string& aFields, const std::string& aBody = {})
{
  return "POST / HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody;
}

std::string
Answer(const std::string& aFields, const std::string& aBody = {})
{
  return "HTTP/1.1 200 OK\r\n" + aFields + "\r\n" + aBody;
}

const std::string kNul("\0", 1);

const std::vector<Case> kRequests = {
  { "3", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true },
  { "3", "GET /  HTTP/1.1\r\nHost: h\r\n\r\n", false },
  { "3", "GET HTTP/1.1\r\nHost: h\r\n\r\n", false },
  { "2.3", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", false },
  { "2.2", "GET / HTTP/1.1\nHost: h\n\n", true },
  { "2.2", "GET /\r HTTP/1.1\r\nHost: h\r\n\r\n", false },
  { "3.2", "GET / HTTP/1.1\r\n\r\n", false },
  { "3.2", "GET / HTTP/1.0\r\n\r\n", true },
  { "3.2", "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", false },
  { "9110, 7.2", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", false },
  { "5.1", Post("Content-Length : 0\r\n"), false },
  { "5.1", Post(": 1\r\n"), false },
  { "5.1", Post("no colon\r\n"), false },
  { "5.2", Post("A: 1\r\n 2\r\n"), false },
  { "5.2", "POST / HTTP/1.1\r\n Host: h\r\n\r\n", false },
  { "9110, 5.5", Post("A: 1" + kNul + "2\r\n"), false },
  { "9110, 5.5", Post("A: 1\r2\r\n"), false },
  { "9110, 5.5", Post("A:\t1\x80 2 \t\r\n"), true },
  { "6.2", Post("Content-Length: 2\r\n", "ab"), true },
  { "6.3", Post("Content-Length: 2\r\nContent-Length: 2\r\n", "ab"), true },
  { "6.3", Post("Content-Length: 2, 2\r\n", "ab"), true },
  { "6.3", Post("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"), false },
  { "6.3", Post("Content-Length: 2, 3\r\n", "abc"), false },
  { "6.3", Post("Content-Length: +2\r\n", "ab"), false },
  { "6.3", Post("Content-Length: -2\r\n", "ab"), false },
  { "6.3", Post("Content-Length: 0x2\r\n", "ab"), false },
  { "6.3", Post("Content-Length: 2 2\r\n", "ab"), false },
  { "6.3", Post("Content-Length:\r\n"), false },
  { "6.3", Post("Content-Length: 2,\r\n", "ab"), false },
  { "6.3", Post("Content-Length: 99999999999999999999\r\n"), false },
  { "9110, 8.6", Post("Content-Length: 9223372036854775808\r\n"), false },
  { "6.1", Post("Transfer-Encoding: Chunked\r\n", "0\r\n\r\n"), true },
  // Valid, but evhttp does not see the value behind a tab.
  { "6.1", Post("Transfer-Encoding:\tchunked\r\n", "0\r\n\r\n"), false },
  { "6.2", Post("Content-Length:\t2\r\n", "ab"), false },
  { "6.1", Post("Transfer-Encoding: gzip, chunked\r\n"), false, 501 },
  { "6.1", Post("Transfer-Encoding: xchunked\r\n"), false, 501 },
  { "6.1", Post("Transfer-Encoding: chunked, identity\r\n"), false, 501 },
  { "6.1", Post("Transfer-Encoding: chunked, chunked\r\n"), false },
  { "6.1",
    Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    false },
  { "6.1", Post("Transfer-Encoding:\r\n"), false, 501 },
  { "6.3", Post("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"), false },
  { "6.1",
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    false },
  { "7.1",
    Post("Transfer-Encoding: chunked\r\n", "A;x=1\r\n0123456789\r\n0\r\n\r\n"),
    true },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "+2\r\nab\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "0x2\r\nab\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", " 2\r\nab\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "2 x\r\nab\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "2\nab\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "2\r\nabc\r\n"), false },
  { "7.1", Post("Transfer-Encoding: chunked\r\n", "2\r\nab\n"), false },
  { "7.1",
    Post("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n"),
    false },
  { "7.1.2",
    Post("Transfer-Encoding: chunked\r\n", "0\r\nA: b\r\n\r\n"),
    true },
  { "7.1.2",
    Post("Transfer-Encoding: chunked\r\n", "0\r\nA b\r\n\r\n"),
    false },
  // evhttp reads no body with these methods.
  { "6", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na", false },
  { "6", "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", true },
};

const std::vector<Case> kAnswers = {
  { "4", "HTTP/1.1 200\r\n\r\n", true },
  { "4", "HTTP/1.1 2000 OK\r\n\r\n", false },
  { "4", "HTTP/1.1 20 OK\r\n\r\n", false },
  { "4", "HTTP/1.1  200 OK\r\n\r\n", false },
  { "4", "HTTP/1.1 099 OK\r\n\r\n", false },
  { "4", "HTTP/2 200 OK\r\n\r\n", false },
  { "9110, 15.2", "HTTP/1.1 100 Continue\r\n\r\n" + Answer(""), true },
  { "9110, 15.2", "HTTP/1.1 103 Early Hints\r\n\r\n" + Answer(""), true },
  { "9110, 15.2.2", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false },
  { "6.3", Answer("Content-Length: 2\r\n", "ab"), true },
  { "6.3", Answer("Content-Length: 2\r\nContent-Length: 5\r\n", "ab"), false },
  { "6.3", Answer("Content-Length: 5\r\nContent-Length: 2\r\n", "ab"), false },
  { "6.3", Answer("Content-Length: +2\r\n", "ab"), false },
  { "6.3", Answer("Content-Length: 2" + kNul + "9\r\n", "ab"), false },
  { "6.3",
    Answer("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"),
    false },
  { "6.3", Answer("Transfer-Encoding: gzip\r\n", "x"), false },
  { "6.3", Answer("Transfer-Encoding: chunked, gzip\r\n", "x"), false },
  { "6.3", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false },
  { "6.3", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n", true },
  { "6.3", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", true },
  { "5.1", Answer("Content-Length : 2\r\n", "ab"), false },
};

MessageReader
ReaderOf(MessageKind aKind)
{
  MessageReader reader;
  reader.mKind = aKind;
  return reader;
}

// The verdict on the bytes, cut into two pieces at aCut.
MessageReader
Read(MessageKind aKind, const std::string& aBytes, size_t aCut)
{
  MessageReader reader = ReaderOf(aKind);
  ReadBytes(reader, std::string_view(aBytes).substr(0, aCut));
  ReadBytes(reader, std::string_view(aBytes).substr(aCut));
  return reader;
}

void
CheckCuts(MessageKind aKind, const Case& aCase)
{
  for (size_t cut = 0; cut <= aCase.mBytes.size(); ++cut) {
    const MessageReader reader = Read(aKind, aCase.mBytes, cut);
    BOOST_TEST((reader.mState != ReadState::eInvalid) == aCase.mValid,
               "cut at " << cut << ": " << reader.mError);
    if (!aCase.mValid && aKind == MessageKind::eRequest) {
      BOOST_TEST(reader.mErrorStatus == aCase.mStatus);
    }
  }
}

} // namespace

BOOST_DATA_TEST_CASE(request_is_judged_by_the_rfc,
                     boost::unit_test::data::make(kRequests),
                     one)
{
  CheckCuts(MessageKind::eRequest, one);
}

BOOST_DATA_TEST_CASE(answer_is_judged_by_the_rfc,
                     boost::unit_test::data::make(kAnswers),
                     one)
{
  CheckCuts(MessageKind::eResponse, one);
}

// A whole answer that is cut anywhere is never complete.
BOOST_AUTO_TEST_CASE(answer_cut_at_any_byte_is_not_complete)
{
  for (const std::string& whole :
       { Answer("Content-Length: 5\r\n", "abcde"),
         Answer("Transfer-Encoding: chunked\r\n",
                "2\r\nab\r\n3\r\ncde\r\n0\r\nA: b\r\n\r\n"),
         std::string("HTTP/1.1 204 No Content\r\nA: b\r\n\r\n") }) {
    for (size_t size = 0; size < whole.size(); ++size) {
      MessageReader reader = ReaderOf(MessageKind::eResponse);
      BOOST_TEST(ReadBytes(reader, whole.substr(0, size)));
      BOOST_TEST((reader.mState != ReadState::eComplete), whole << size);
    }
    MessageReader reader = ReaderOf(MessageKind::eResponse);
    BOOST_TEST(ReadBytes(reader, whole));
    BOOST_TEST((reader.mState == ReadState::eComplete));
    BOOST_TEST(!reader.mTooMuch);
    BOOST_TEST(ReadBytes(reader, "x"));
    BOOST_TEST(reader.mTooMuch);
  }
}

// The second request of a connection is judged from its own first byte.
BOOST_AUTO_TEST_CASE(requests_follow_each_other_on_a_connection)
{
  const std::string first = Post("Content-Length: 3\r\n", "GET");
  const std::string second =
    Post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\n\r\n");
  MessageReader reader = ReaderOf(MessageKind::eRequest);
  BOOST_TEST(ReadBytes(reader, first + second + first));
  BOOST_TEST((reader.mState == ReadState::eStartLine));
  BOOST_TEST(reader.mHead.empty());
  BOOST_TEST(!ReadBytes(reader, Post("Content-Length: 3, 4\r\n")));
}

// Heads without end take a bounded amount of memory.
BOOST_AUTO_TEST_CASE(endless_head_becomes_invalid)
{
  MessageReader reader = ReaderOf(MessageKind::eResponse);
  std::string fields = "HTTP/1.1 200 OK\r\n";
  size_t sent = 0;
  while (ReadBytes(reader, fields) && sent < (1 << 20)) {
    sent += fields.size();
    fields = "A: b\r\n";
  }
  BOOST_TEST((reader.mState == ReadState::eInvalid));
  BOOST_TEST(reader.mHead.capacity() < 64);
}
