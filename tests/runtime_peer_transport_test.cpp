// Guards against framing errors, trust in bytes from outside, and connections
// to silent peers that are never closed.
#define BOOST_TEST_MODULE runtime_peer_transport
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include "caraway/runtime/runtime.h"

using namespace caraway;

namespace {

PeerSettings
Local()
{
  PeerSettings settings;
  settings.mListen = "127.0.0.1:0";
  return settings;
}

// Exits the loop after 30 seconds, so that a fault fails the test's checks
// instead of blocking it.
struct Guard
{
  explicit Guard(Loop& aLoop)
    : mTimer(aLoop, [&aLoop] { aLoop.Exit(); })
  {
    mTimer.ArmAt(aLoop.Now() + Seconds(30));
  }
  Timer mTimer;
};

int
ConnectRaw(const std::string& aAddress)
{
  auto address = ParseSocketAddress(aAddress);
  const int handle = socket(address->mStorage.ss_family, SOCK_STREAM, 0);
  BOOST_REQUIRE(connect(handle,
                        reinterpret_cast<sockaddr*>(&address->mStorage),
                        address->mLength) == 0);
  return handle;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_connection_carries_both_directions)
{
  Loop loop;
  Guard guard(loop);
  PeerTransport first(loop, Local());
  PeerTransport second(loop, Local());
  BOOST_REQUIRE(first.Listen().ok());
  BOOST_REQUIRE(second.Listen().ok());
  std::string got;
  second.mOnMessage.connect(
    [&](const PeerAddress& aFrom, const Message& aMessage) {
      BOOST_TEST(aFrom.mValue == first.Address().mValue);
      BOOST_TEST(std::get<Dispatch>(aMessage).mBody.size() == 300000u);
      second.Send(aFrom, OutcomeReply{ RequestId("r") });
    });
  first.mOnMessage.connect(
    [&](const PeerAddress& aFrom, const Message& aMessage) {
      BOOST_TEST(aFrom.mValue == second.Address().mValue);
      got = std::get<OutcomeReply>(aMessage).mRequest.mValue;
      loop.Exit();
    });
  Dispatch dispatch;
  dispatch.mBody.assign(300000, 'x');
  first.Send(second.Address(), dispatch);
  loop.Run();
  BOOST_TEST(got == "r");
}

BOOST_AUTO_TEST_CASE(malformed_frame_closes_only_its_own_connection)
{
  Loop loop;
  Guard guard(loop);
  PeerTransport first(loop, Local());
  PeerTransport second(loop, Local());
  BOOST_REQUIRE(first.Listen().ok());
  BOOST_REQUIRE(second.Listen().ok());
  const int raw = ConnectRaw(second.Address().mValue);
  const std::string garbage = "\xff\xff\xff\xff garbage";
  BOOST_REQUIRE(write(raw, garbage.data(), garbage.size()) > 0);
  bool got = false;
  second.mOnMessage.connect([&](const PeerAddress&, const Message&) {
    got = true;
    loop.Exit();
  });
  first.Send(second.Address(), Watch{ first.Address() });
  loop.Run();
  BOOST_TEST(got);
  BOOST_TEST(second.Counters().mMalformed == 1u);
  close(raw);
}

// Guards against messages lost or duplicated when a stuck dial is repeated. A
// dial to an instance that is still starting can hang for a second, and all
// queued messages with it.
BOOST_AUTO_TEST_CASE(stuck_dial_is_repeated_and_keeps_queued_messages)
{
  Loop loop;
  Guard guard(loop);
  PeerSettings settings = Local();
  settings.mConnectTimeout = {};
  PeerTransport first(loop, settings);
  PeerTransport second(loop, Local());
  BOOST_REQUIRE(first.Listen().ok());
  BOOST_REQUIRE(second.Listen().ok());
  std::vector<uint64_t> got;
  second.mOnMessage.connect([&](const PeerAddress&, const Message& aMessage) {
    got.push_back(std::get<Leading>(aMessage).mTerm.mValue);
    if (got.size() == 3) {
      loop.Exit();
    }
  });
  bool lost = false;
  first.mOnPeerLost.connect([&](const PeerAddress&) { lost = true; });
  // The loop has not run yet, so each Send finds the dial not established.
  for (uint64_t term = 1; term <= 3; ++term) {
    first.Send(second.Address(), Leading{ Term(term) });
  }
  loop.Run();
  BOOST_TEST((got == std::vector<uint64_t>{ 1, 2, 3 }));
  BOOST_TEST(!lost);
}

BOOST_AUTO_TEST_CASE(silent_peer_is_reported_lost)
{
  Loop loop;
  Guard guard(loop);
  PeerSettings settings = Local();
  settings.mHeartbeat = Millis(10);
  settings.mSilenceTimeout = Millis(60);
  PeerTransport transport(loop, settings);
  BOOST_REQUIRE(transport.Listen().ok());
  // The kernel accepts connections to this listener, but nothing ever responds.
  const int silent = socket(AF_INET, SOCK_STREAM, 0);
  auto any = ParseSocketAddress("127.0.0.1:0");
  BOOST_REQUIRE(bind(silent,
                     reinterpret_cast<sockaddr*>(&any->mStorage),
                     any->mLength) == 0);
  BOOST_REQUIRE(listen(silent, 4) == 0);
  const PeerAddress peer(BoundAddress(silent));
  std::string lost;
  transport.mOnPeerLost.connect([&](const PeerAddress& aPeer) {
    lost = aPeer.mValue;
    loop.Exit();
  });
  transport.Send(peer, Watch{});
  loop.Run();
  BOOST_TEST(lost == peer.mValue);
  close(silent);
}

BOOST_AUTO_TEST_CASE(only_load_reports_are_accepted_from_datagrams)
{
  Loop loop;
  Guard guard(loop);
  PeerTransport first(loop, Local());
  PeerTransport second(loop, Local());
  BOOST_REQUIRE(first.Listen().ok());
  BOOST_REQUIRE(second.Listen().ok());
  std::vector<std::string> names;
  second.mOnMessage.connect([&](const PeerAddress&, const Message& aMessage) {
    names.emplace_back(MessageName(aMessage));
    loop.Exit();
  });
  first.SendDatagram(second.Address(), Renew{});
  first.SendDatagram(second.Address(), LoadReport{ InstanceId("n") });
  loop.Run();
  BOOST_REQUIRE(names.size() == 1u);
  BOOST_TEST(names[0] == "LoadReport");
}

// Guards against accepting such addresses: libevent's parser stops at the first
// character that is not a digit.
BOOST_AUTO_TEST_CASE(addresses_with_text_after_the_port_are_rejected)
{
  BOOST_TEST(ParseSocketAddress("127.0.0.1:80").ok());
  BOOST_TEST(ParseSocketAddress("127.0.0.1:0").ok());
  BOOST_TEST(ParseSocketAddress("[::1]:80").ok());
  BOOST_TEST(!ParseSocketAddress("127.0.0.1:80/path").ok());
  BOOST_TEST(!ParseSocketAddress("127.0.0.1:80@10.0.0.1").ok());
  BOOST_TEST(!ParseSocketAddress("127.0.0.1").ok());
  BOOST_TEST(!ParseSocketAddress("127.0.0.1:").ok());
}
