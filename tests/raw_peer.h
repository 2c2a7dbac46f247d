#pragma once
// Test helpers: a caller and a target on real sockets that write their bytes by
// hand.

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

#include "caraway/runtime/runtime.h"

namespace caraway {

// A socket that is closed with its owner.
struct RawSocket
{
  int mHandle = -1;

  explicit RawSocket(const std::string& aAddress)
    : mHandle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const auto address = ParseSocketAddress(aAddress);
    BOOST_REQUIRE(connect(mHandle,
                          reinterpret_cast<const sockaddr*>(&address->mStorage),
                          address->mLength) == 0);
  }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { close(mHandle); }

  void Write(const std::string& aBytes) const
  {
    BOOST_REQUIRE(write(mHandle, aBytes.data(), aBytes.size()) ==
                  static_cast<ssize_t>(aBytes.size()));
  }

  // Runs the loop until the peer has closed; returns all that it has sent.
  std::string ReadToEnd(Loop& aLoop) const
  {
    std::string received;
    char buffer[65536];
    while (true) {
      const ssize_t count = recv(mHandle, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count > 0) {
        received.append(buffer, static_cast<size_t>(count));
      } else if (count == 0 || errno != EAGAIN) {
        return received;
      } else {
        event_base_loop(aLoop.Base(), EVLOOP_NONBLOCK);
      }
    }
  }
};

// Listens on a free port of the loopback address.
inline ListenerPtr
ListenOnLoopback(Loop& aLoop, evconnlistener_cb aOnAccept, void* aArgument)
{
  auto any = ParseSocketAddress("127.0.0.1:0");
  ListenerPtr listener(
    evconnlistener_new_bind(aLoop.Base(),
                            aOnAccept,
                            aArgument,
                            LEV_OPT_CLOSE_ON_FREE,
                            -1,
                            reinterpret_cast<sockaddr*>(&any->mStorage),
                            static_cast<int>(any->mLength)));
  BOOST_REQUIRE(listener);
  return listener;
}

// A target that writes fixed bytes to each connection, after the request has
// arrived, and closes it.
struct RawTarget
{
  Loop& mLoop;
  std::string mAnswer;
  ListenerPtr mListener;

  explicit RawTarget(Loop& aLoop)
    : mLoop(aLoop)
    , mListener(ListenOnLoopback(aLoop, &RawTarget::OnAccept, this))
  {
  }

  std::string Address() const
  {
    return BoundAddress(evconnlistener_get_fd(mListener.get()));
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aTarget)
  {
    auto* target = static_cast<RawTarget*>(aTarget);
    bufferevent* buffer = bufferevent_socket_new(
      target->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
      buffer, &RawTarget::OnRequest, nullptr, &RawTarget::OnEvent, aTarget);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }

  static void OnRequest(bufferevent* aBuffer, void* aTarget)
  {
    evbuffer* input = bufferevent_get_input(aBuffer);
    if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    const std::string& answer = static_cast<RawTarget*>(aTarget)->mAnswer;
    if (answer.empty()) {
      bufferevent_free(aBuffer);
      return;
    }
    bufferevent_setcb(
      aBuffer, nullptr, &RawTarget::OnWritten, &RawTarget::OnEvent, aTarget);
    bufferevent_write(aBuffer, answer.data(), answer.size());
  }

  static void OnWritten(bufferevent* aBuffer, void*)
  {
    bufferevent_free(aBuffer);
  }

  static void OnEvent(bufferevent* aBuffer, short, void*)
  {
    bufferevent_free(aBuffer);
  }
};

// Calls to a RawTarget, one at a time.
struct RawCalls
{
  Loop mLoop;
  RawTarget mTarget{ mLoop };
  TargetClient mClient{ mLoop, TargetClientSettings{} };
  Timer mGuard{ mLoop, [this] { mLoop.Exit(); } };
  uint64_t mNextCall = 1;
  int mStatus = 0;
  std::string mBytes;
  size_t mByteEvents = 0;
  bool mEnded = false;
  bool mEndedByClose = false;
  bool mFailed = false;
  Outcome mOutcome = Outcome::eRan;

  RawCalls()
  {
    mClient.mOnBegan.connect(
      [this](const TargetCallBegan& aBegan) { mStatus = aBegan.mStatus; });
    mClient.mOnBytes.connect([this](const TargetCallBytes& aBytes) {
      mBytes += aBytes.mBytes;
      ++mByteEvents;
    });
    mClient.mOnEnded.connect([this](const TargetCallEnded& aEnded) {
      mEnded = true;
      mEndedByClose = aEnded.mByClose;
      mLoop.Exit();
    });
    mClient.mOnFailed.connect([this](const TargetCallFailed& aFailed) {
      mFailed = true;
      mOutcome = aFailed.mOutcome;
      mLoop.Exit();
    });
  }

  // Makes a call that the target answers with these bytes.
  void Call(const std::string& aAnswer)
  {
    mTarget.mAnswer = aAnswer;
    mStatus = 0;
    mBytes.clear();
    mByteEvents = 0;
    mEnded = mEndedByClose = mFailed = false;
    StartTargetCall call;
    call.mCall = TargetCallId(mNextCall++);
    call.mUrl = "http://" + mTarget.Address();
    call.mMethod = "POST";
    call.mPath = "/";
    call.mBody = "q";
    call.mFreshConnection = true;
    mGuard.ArmAt(mLoop.Now() + Seconds(60));
    mClient.Start(call);
    mLoop.Run();
  }
};

} // namespace caraway
