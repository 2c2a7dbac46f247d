// Guards the reuse of connections to targets on real sockets: handshakes for
// every call, bytes after an answer taken for the next one, and calls lost to a
// connection that has ended.
#define BOOST_TEST_MODULE runtime_connection_reuse
#include <boost/test/unit_test.hpp>

#include "raw_peer.h"

using namespace caraway;

namespace {

// A target that keeps its connections open and answers each request with the
// next of its answers; an empty one closes the connection.
struct KeepingTarget
{
  Loop& mLoop;
  std::vector<std::string> mAnswers;
  size_t mRequests = 0;
  size_t mConnections = 0;
  bufferevent* mNewest = nullptr;
  std::vector<BufferEventPtr> mOpen;
  ListenerPtr mListener;

  explicit KeepingTarget(Loop& aLoop)
    : mLoop(aLoop)
    , mListener(ListenOnLoopback(aLoop, &KeepingTarget::OnAccept, this))
  {
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aTarget)
  {
    auto* target = static_cast<KeepingTarget*>(aTarget);
    ++target->mConnections;
    target->mNewest = bufferevent_socket_new(
      target->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    target->mOpen.emplace_back(target->mNewest);
    bufferevent_setcb(
      target->mNewest, &KeepingTarget::OnRequest, nullptr, nullptr, aTarget);
    bufferevent_enable(target->mNewest, EV_READ | EV_WRITE);
  }

  static void OnRequest(bufferevent* aBuffer, void* aTarget)
  {
    auto* target = static_cast<KeepingTarget*>(aTarget);
    evbuffer* input = bufferevent_get_input(aBuffer);
    if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    const std::string& answer =
      target->mAnswers[target->mRequests++ % target->mAnswers.size()];
    if (answer.empty()) {
      Close(aBuffer);
    } else {
      bufferevent_write(aBuffer, answer.data(), answer.size());
    }
  }

  static void Close(bufferevent* aBuffer)
  {
    shutdown(bufferevent_getfd(aBuffer), SHUT_RDWR);
  }
};

struct Calls
{
  Loop mLoop;
  KeepingTarget mTarget{ mLoop };
  TargetClient mClient{ mLoop, TargetClientSettings{} };
  Timer mGuard{ mLoop, [this] { mLoop.Exit(); } };
  uint64_t mNextCall = 1;
  size_t mReused = 0;
  std::string mBytes;
  bool mEnded = false;
  bool mFailed = false;
  Outcome mOutcome = Outcome::eRan;

  Calls()
  {
    mClient.mOnSent.connect([this](const TargetCallSent& aSent) {
      mReused += aSent.mReusedConnection ? 1 : 0;
    });
    mClient.mOnBytes.connect(
      [this](const TargetCallBytes& aBytes) { mBytes += aBytes.mBytes; });
    mClient.mOnEnded.connect([this](const TargetCallEnded&) {
      mEnded = true;
      mLoop.Exit();
    });
    mClient.mOnFailed.connect([this](const TargetCallFailed& aFailed) {
      mFailed = true;
      mOutcome = aFailed.mOutcome;
      mLoop.Exit();
    });
  }

  void Call(bool aFresh = false, uint32_t aIdleLimit = 2)
  {
    mBytes.clear();
    mEnded = mFailed = false;
    StartTargetCall call;
    call.mCall = TargetCallId(mNextCall++);
    call.mUrl =
      "http://" + BoundAddress(evconnlistener_get_fd(mTarget.mListener.get()));
    call.mMethod = "POST";
    call.mPath = "/";
    call.mBody = "q";
    call.mFreshConnection = aFresh;
    call.mIdleLimit = aIdleLimit;
    call.mContext.mRequest = RequestId("r" + std::to_string(call.mCall.mValue));
    mGuard.ArmAt(mLoop.Now() + Seconds(60));
    mClient.Start(call);
    mLoop.Run();
    Settle();
  }

  // Lets both ends handle what is on its way; loopback sockets deliver at once.
  void Settle()
  {
    for (int turn = 0; turn < 20; ++turn) {
      event_base_loop(mLoop.Base(), EVLOOP_NONBLOCK);
    }
  }
};

constexpr const char* kPlain =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: 20\r\n\r\nok";
constexpr const char* kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: 20\r\n\r\n"
  "2\r\nok\r\n0\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_CASE(answers_with_length_and_chunks_keep_a_connection, Calls)
{
  mTarget.mAnswers = { kPlain, kChunked };
  for (int at = 0; at < 6; ++at) {
    Call();
    BOOST_TEST(mEnded);
    BOOST_TEST(mBytes == "ok");
  }
  BOOST_TEST(mTarget.mConnections == 1u);
  BOOST_TEST(mReused == 5u);
}

BOOST_FIXTURE_TEST_CASE(fresh_call_opens_a_connection, Calls)
{
  mTarget.mAnswers = { kPlain };
  Call();
  Call(true);
  BOOST_TEST(mTarget.mConnections == 2u);
  BOOST_TEST(mReused == 0u);
}

BOOST_FIXTURE_TEST_CASE(limit_of_none_closes_the_connection, Calls)
{
  mTarget.mAnswers = { kPlain };
  Call(false, 0);
  Call(false, 0);
  BOOST_TEST(mTarget.mConnections == 2u);
}

BOOST_FIXTURE_TEST_CASE(answer_that_closes_or_has_no_length_keeps_none, Calls)
{
  for (const char* answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
         "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: 0\r\n\r\nok" }) {
    mTarget.mAnswers = { answer };
    Call();
    BOOST_TEST(mEnded);
    Call();
    BOOST_TEST(mEnded);
    BOOST_TEST(mReused == 0u);
  }
  BOOST_TEST(mTarget.mConnections == 6u);
}

BOOST_FIXTURE_TEST_CASE(bytes_after_an_answer_are_no_answer, Calls)
{
  // In one piece with the answer.
  mTarget.mAnswers = { std::string(kPlain) + kChunked, kPlain };
  Call();
  Call();
  BOOST_TEST(mBytes == "ok");
  BOOST_TEST(mReused == 0u);
  // Later, while the connection is idle.
  const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
  bufferevent_write(mTarget.mNewest, late.data(), late.size());
  Settle();
  mTarget.mAnswers = { kPlain };
  Call();
  BOOST_TEST(mEnded);
  BOOST_TEST(mBytes == "ok");
  BOOST_TEST(mReused == 0u);
  BOOST_TEST(mTarget.mConnections == 3u);
}

BOOST_FIXTURE_TEST_CASE(connection_closed_by_the_target_is_not_reused, Calls)
{
  mTarget.mAnswers = { kPlain };
  Call();
  KeepingTarget::Close(mTarget.mNewest);
  Settle();
  Call();
  BOOST_TEST(mEnded);
  BOOST_TEST(mReused == 0u);
  BOOST_TEST(mTarget.mConnections == 2u);
}

BOOST_FIXTURE_TEST_CASE(end_of_a_reused_connection_proves_nothing, Calls)
{
  mTarget.mAnswers = { kPlain, "" };
  Call();
  Call();
  BOOST_TEST(mReused == 1u);
  BOOST_TEST(mFailed);
  // The target has read the request.
  BOOST_TEST((mOutcome == Outcome::eUnknown));
}

// The rules for answers that are none hold on kept connections as well.
BOOST_FIXTURE_TEST_CASE(status_that_is_none_on_a_kept_connection, Calls)
{
  for (const char* status : { "000", "099", "1000", "-1", "" }) {
    mTarget.mAnswers = { kPlain,
                         "HTTP/1.1 " + std::string(status) +
                           " x\r\nContent-Length: 2\r\n\r\nok" };
    mTarget.mRequests = 0;
    const size_t reused = mReused;
    Call();
    BOOST_TEST(mEnded);
    Call();
    BOOST_TEST(mReused == reused + 1);
    BOOST_TEST(mFailed);
    BOOST_TEST((mOutcome == Outcome::eUnknown));
    BOOST_TEST(mBytes.empty());
  }
}
