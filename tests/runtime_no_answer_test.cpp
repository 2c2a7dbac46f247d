// Guards against bytes of a target that are taken for a complete answer: a
// response without a length that is reset while the upload is still being
// written, and responses whose status is none.
#define BOOST_TEST_MODULE runtime_no_answer
#include <boost/test/unit_test.hpp>

#include "raw_peer.h"

using namespace caraway;

namespace {

constexpr size_t kLongUpload = 8 << 20; // more than the sockets take

// What the target does when it has answered.
enum class Then : uint8_t
{
  eClose,
  eReset,
  eStay,      // keeps the connection open
  eHalfClose, // ends its side, and neither reads on nor resets
};

// A target that answers with mAnswer as soon as the first bytes of a request
// arrive and reads no more, and one call to it.
struct HastyTarget
{
  HastyTarget(std::string aAnswer, size_t aUpload, bool aReset)
    : HastyTarget(std::move(aAnswer),
                  aUpload,
                  aReset ? Then::eReset : Then::eClose)
  {
  }

  HastyTarget(std::string aAnswer, size_t aUpload, Then aThen)
    : mAnswer(std::move(aAnswer))
    , mThen(aThen)
    , mClient(mLoop, TargetClientSettings{})
    , mGuard(mLoop, [this] { mLoop.Exit(); })
  {
    mListener = ListenOnLoopback(mLoop, &HastyTarget::OnAccept, this);
    mGuard.ArmAt(mLoop.Now() + Seconds(60));
    mClient.mOnBegan.connect(
      [this](const TargetCallBegan& aBegan) { mStatus = aBegan.mStatus; });
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
    StartTargetCall call;
    call.mCall = TargetCallId(1);
    call.mUrl =
      "http://" + BoundAddress(evconnlistener_get_fd(mListener.get()));
    call.mMethod = "POST";
    call.mPath = "/";
    call.mBody.assign(aUpload, 'u');
    call.mFreshConnection = true;
    mClient.Start(call);
    mLoop.Run();
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aSelf)
  {
    auto* self = static_cast<HastyTarget*>(aSelf);
    self->mBuffer.reset(bufferevent_socket_new(
      self->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
      self->mBuffer.get(), &HastyTarget::OnFirstBytes, nullptr, nullptr, aSelf);
    bufferevent_enable(self->mBuffer.get(), EV_READ);
  }

  // Answers and closes. The rest of the request is not read.
  static void OnFirstBytes(bufferevent* aBuffer, void* aSelf)
  {
    auto* self = static_cast<HastyTarget*>(aSelf);
    const evutil_socket_t handle = bufferevent_getfd(aBuffer);
    (void)send(
      handle, self->mAnswer.data(), self->mAnswer.size(), MSG_NOSIGNAL);
    if (self->mThen == Then::eStay || self->mThen == Then::eHalfClose) {
      bufferevent_disable(aBuffer, EV_READ);
      if (self->mThen == Then::eHalfClose) {
        (void)shutdown(handle, SHUT_WR);
      }
      return;
    }
    if (self->mThen == Then::eReset) {
      const linger setting{ 1, 0 };
      (void)setsockopt(
        handle, SOL_SOCKET, SO_LINGER, &setting, sizeof(setting));
    }
    self->mBuffer.reset();
  }

  // The call failed, with the outcome unknown: the target may have run it.
  void ExpectNoAnswer() const
  {
    BOOST_TEST(mFailed);
    BOOST_TEST(!mEnded);
    BOOST_TEST((mOutcome == Outcome::eUnknown));
  }

  std::string mAnswer;
  Then mThen = Then::eClose;
  Loop mLoop;
  TargetClient mClient;
  Timer mGuard;
  ListenerPtr mListener;
  BufferEventPtr mBuffer;
  int mStatus = 0;
  std::string mBytes;
  bool mEnded = false;
  bool mFailed = false;
  Outcome mOutcome = Outcome::eRan;
};

} // namespace

BOOST_AUTO_TEST_CASE(part_of_an_answer_to_an_upload_that_is_cut_is_no_answer)
{
  for (const size_t upload : { size_t{ 1 } << 10, kLongUpload }) {
    HastyTarget("HTTP/1.1 200 OK\r\n\r\npart", upload, true).ExpectNoAnswer();
    HastyTarget(
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", upload, true)
      .ExpectNoAnswer();
  }
}

// The kernel resets a connection that is closed with unread bytes.
BOOST_AUTO_TEST_CASE(upload_that_nobody_reads_gets_no_answer_without_a_length)
{
  HastyTarget("HTTP/1.1 200 OK\r\n\r\npart", kLongUpload, false)
    .ExpectNoAnswer();
}

// The end of the answer arrives while part of the upload is still in the
// socket; a reset would come only after it.
BOOST_AUTO_TEST_CASE(answer_that_ends_before_the_upload_is_received_is_none)
{
  for (const size_t kibibytes : { 128, 192, 256, 512, 1024 }) {
    HastyTarget(
      "HTTP/1.1 200 OK\r\n\r\npart", kibibytes << 10, Then::eHalfClose)
      .ExpectNoAnswer();
  }
}

BOOST_AUTO_TEST_CASE(response_whose_status_is_none_is_no_answer)
{
  for (const char* status : { "000", "099", "1000", "-1", "2e2", "", "20" }) {
    const HastyTarget target("HTTP/1.1 " + std::string(status) +
                               " x\r\nContent-Length: 2\r\n\r\nok",
                             0,
                             false);
    target.ExpectNoAnswer();
    BOOST_TEST(target.mStatus == 0);
  }
}

BOOST_AUTO_TEST_CASE(interim_response_alone_is_no_answer)
{
  const HastyTarget target("HTTP/1.1 102 Processing\r\n\r\n", 0, false);
  target.ExpectNoAnswer();
  BOOST_TEST(target.mStatus == 0);
}

// The same on connections that the target keeps, for plain answers and streams.
BOOST_AUTO_TEST_CASE(response_whose_status_is_none_fails_while_its_target_stays)
{
  const std::string bodies[] = {
    "Content-Length: 2\r\n\r\nok",
    "Connection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "d\r\nid: 1\ndata: e\n\r\n1\r\n\n\r\n0\r\n\r\n",
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    "id: 1\ndata: e\n\n",
  };
  for (const char* status : { "000", "099", "1000", "-1", "" }) {
    for (const std::string& body : bodies) {
      for (const size_t upload : { size_t{ 0 }, kLongUpload }) {
        const HastyTarget target("HTTP/1.1 " + std::string(status) + " x\r\n" +
                                   body,
                                 upload,
                                 Then::eStay);
        target.ExpectNoAnswer();
        BOOST_TEST(target.mStatus == 0);
        BOOST_TEST(target.mBytes.empty());
      }
    }
  }
}

// What follows an interim response is judged like any first line.
BOOST_AUTO_TEST_CASE(status_that_is_none_after_an_interim_response)
{
  const HastyTarget target("HTTP/1.1 102 Processing\r\n\r\n"
                           "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nok",
                           0,
                           Then::eStay);
  target.ExpectNoAnswer();
  BOOST_TEST(target.mStatus == 0);
}

// A stream that is reset after its first event has an event, but no end.
BOOST_AUTO_TEST_CASE(stream_that_is_reset_has_no_end)
{
  for (const char* framing : { "Connection: close\r\n\r\nid: 1\ndata: e\n\n",
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "e\r\nid: 1\ndata: e\n\n\r\n" }) {
    HastyTarget("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                  std::string(framing),
                kLongUpload,
                Then::eReset)
      .ExpectNoAnswer();
  }
}
