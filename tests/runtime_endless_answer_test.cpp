// Guards against a target that sends bytes without end: the client must not
// buffer them without bound and must close the connection, and a call without a
// complete answer must fail with the outcome unknown.
#define BOOST_TEST_MODULE runtime_endless_answer
#include <boost/test/unit_test.hpp>

#include "raw_peer.h"

using namespace caraway;

namespace {

// Limit on what a target can send before its connection is closed: the bytes
// the client reads and those in the socket buffers of both sides.
constexpr size_t kMaxSentBytes = 16 << 20;
constexpr size_t kPiece = 64 * 1024;

// A target that sends aBegin, then repeats aRepeat until the connection closes,
// and one call to it.
struct EndlessTarget
{
  EndlessTarget(std::string aBegin, const std::string& aRepeat)
    : mBegin(std::move(aBegin))
    , mClient(mLoop, TargetClientSettings{})
    , mGuard(mLoop, [this] { mLoop.Exit(); })
  {
    while (mRepeat.size() < kPiece) {
      mRepeat += aRepeat;
    }
    mListener = ListenOnLoopback(mLoop, &EndlessTarget::OnAccept, this);
    mGuard.ArmAt(mLoop.Now() + Seconds(60));
    mClient.mOnBegan.connect([this](const TargetCallBegan&) { mBegan = true; });
    mClient.mOnEnded.connect([this](const TargetCallEnded&) { mEnded = true; });
    mClient.mOnFailed.connect([this](const TargetCallFailed& aFailed) {
      mFailed = true;
      mOutcome = aFailed.mOutcome;
    });
    StartTargetCall call;
    call.mCall = TargetCallId(1);
    call.mUrl =
      "http://" + BoundAddress(evconnlistener_get_fd(mListener.get()));
    call.mMethod = "POST";
    call.mPath = "/";
    call.mBody = "q";
    call.mFreshConnection = true;
    mClient.Start(call);
    mLoop.Run(); // until the target's connection is closed
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    auto* self = static_cast<EndlessTarget*>(aSelf);
    self->mBuffer.reset(bufferevent_socket_new(
      self->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(self->mBuffer.get(),
                      nullptr,
                      &EndlessTarget::OnWritten,
                      &EndlessTarget::OnEvent,
                      aSelf);
    bufferevent_enable(self->mBuffer.get(), EV_READ | EV_WRITE);
    bufferevent_write(
      self->mBuffer.get(), self->mBegin.data(), self->mBegin.size());
  }

  static void OnWritten(bufferevent* aBuffer, void* aSelf)
  {
    auto* self = static_cast<EndlessTarget*>(aSelf);
    self->mSent += self->mRepeat.size();
    if (self->mSent > kMaxSentBytes) {
      self->mLoop.Exit();
      return;
    }
    bufferevent_write(aBuffer, self->mRepeat.data(), self->mRepeat.size());
  }

  static void OnEvent(bufferevent*, short, void* aSelf)
  {
    auto* self = static_cast<EndlessTarget*>(aSelf);
    self->mClosed = true;
    self->mLoop.Defer([self] { self->mLoop.Exit(); });
  }

  void ExpectConnectionClosed()
  {
    BOOST_TEST(mClosed);
    BOOST_TEST(mFailed);
    BOOST_TEST(!mEnded);
    BOOST_TEST((mOutcome == Outcome::eUnknown));
    BOOST_TEST(mSent <= kMaxSentBytes);
  }

  std::string mBegin;
  std::string mRepeat;
  Loop mLoop;
  TargetClient mClient;
  Timer mGuard;
  ListenerPtr mListener;
  BufferEventPtr mBuffer;
  size_t mSent = 0;
  bool mBegan = false;
  bool mEnded = false;
  bool mFailed = false;
  bool mClosed = false;
  Outcome mOutcome = Outcome::eRan;
};

} // namespace

BOOST_AUTO_TEST_CASE(unterminated_status_line_closes_the_connection)
{
  EndlessTarget("HTTP/1.1 200 ", "x").ExpectConnectionClosed();
}

BOOST_AUTO_TEST_CASE(endless_headers_close_the_connection)
{
  EndlessTarget("HTTP/1.1 200 OK\r\n", "A: b\r\n").ExpectConnectionClosed();
}

BOOST_AUTO_TEST_CASE(unterminated_header_line_closes_the_connection)
{
  EndlessTarget("HTTP/1.1 200 OK\r\nA: ", "b").ExpectConnectionClosed();
}

BOOST_AUTO_TEST_CASE(endless_interim_responses_close_the_connection)
{
  EndlessTarget target("HTTP/1.1 100 Continue\r\n\r\n",
                       "HTTP/1.1 100 Continue\r\n\r\n");
  target.ExpectConnectionClosed();
  BOOST_TEST(!target.mBegan); // interim responses are not the answer
}

BOOST_AUTO_TEST_CASE(unterminated_chunk_size_closes_the_connection)
{
  EndlessTarget("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0")
    .ExpectConnectionClosed();
}

BOOST_AUTO_TEST_CASE(endless_trailers_close_the_connection)
{
  EndlessTarget("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "A: b\r\n")
    .ExpectConnectionClosed();
}

BOOST_AUTO_TEST_CASE(bytes_after_a_whole_answer_close_the_connection)
{
  EndlessTarget target("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x");
  BOOST_TEST(target.mEnded);
  BOOST_TEST(!target.mFailed);
  BOOST_TEST(target.mClosed);
}
