// Guards against memory that grows by many times the bytes received: a target
// sent a stream in chunks of a few bytes, and each was kept in a buffer of its
// own.
#define BOOST_TEST_MODULE runtime_small_pieces
#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include "raw_peer.h"

using namespace caraway;

namespace {

// Bytes that libevent has allocated.
size_t gAllocated = 0;

struct CountAllocations
{
  CountAllocations()
  {
    event_set_mem_functions(
      [](size_t aSize) {
        void* memory = malloc(aSize);
        gAllocated += malloc_usable_size(memory);
        return memory;
      },
      [](void* aMemory, size_t aSize) {
        gAllocated -= malloc_usable_size(aMemory);
        void* memory = realloc(aMemory, aSize);
        gAllocated += malloc_usable_size(memory);
        return memory;
      },
      [](void* aMemory) {
        gAllocated -= malloc_usable_size(aMemory);
        free(aMemory);
      });
  }
};

// Of memory to the bytes it keeps.
constexpr size_t kMaxOverhead = 3;

} // namespace

BOOST_GLOBAL_FIXTURE(CountAllocations);

BOOST_AUTO_TEST_CASE(unsent_pieces_take_little_more_than_their_bytes)
{
  constexpr size_t kPieces = 100000;
  // What the sockets' own buffers may hold.
  constexpr size_t kSocketBytes = 8 << 20;
  for (const size_t size : { 1, 4, 16, 64 }) {
    Loop loop;
    HttpServerSettings settings;
    settings.mListen = "127.0.0.1:0";
    settings.mMaxQueuedBytes = 64 << 20;
    settings.mMaxQueuedTotalBytes = 64 << 20;
    HttpServer server(loop, settings);
    BOOST_REQUIRE(server.Listen().ok());
    HttpCallId call;
    server.mOnRequest.connect([&](const HttpRequest& aRequest) {
      call = aRequest.mCall;
      server.Begin({ call, 200, {} });
      loop.Exit();
    });
    const RawSocket caller(server.Address());
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    loop.Run();
    // The loop does not run, so that all bytes stay in the process.
    const size_t before = gAllocated;
    for (size_t piece = 0; piece < kPieces; ++piece) {
      server.Chunk({ call, std::string(size, 'x') });
    }
    const size_t framed = kPieces * (size + 6); // "4\r\nxxxx\r\n"
    BOOST_TEST(gAllocated - before < framed * kMaxOverhead,
               size << ": " << gAllocated - before);
    server.End({ call });
    const std::string received = caller.ReadToEnd(loop);
    BOOST_TEST(received.size() > kPieces * (size + 5));
    BOOST_TEST(received.ends_with("\r\n0\r\n\r\n"));
    BOOST_TEST(received.size() < kSocketBytes);
  }
}

// All unsent bytes together have a limit, whatever the number of responses.
BOOST_AUTO_TEST_CASE(slow_readers_together_are_bounded)
{
  constexpr size_t kCallers = 16;
  constexpr size_t kTotal = 4 << 20;
  constexpr size_t kEach = 1 << 20;
  Loop loop;
  HttpServerSettings settings;
  settings.mListen = "127.0.0.1:0";
  settings.mMaxQueuedTotalBytes = kTotal;
  HttpServer server(loop, settings);
  BOOST_REQUIRE(server.Listen().ok());
  size_t closed = 0;
  size_t begun = 0;
  server.mOnClosed.connect([&](const HttpClosed&) { ++closed; });
  server.mOnRequest.connect([&](const HttpRequest& aRequest) {
    server.Begin({ aRequest.mCall, 200, {} });
    // More than the sockets hold.
    for (size_t sent = 0; sent < 8 * kEach; sent += kEach / 16) {
      server.Chunk({ aRequest.mCall, std::string(kEach / 16, 'x') });
    }
    ++begun;
  });
  std::vector<std::unique_ptr<RawSocket>> callers;
  for (size_t at = 0; at < kCallers; ++at) {
    callers.push_back(std::make_unique<RawSocket>(server.Address()));
    callers.back()->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  Timer end(loop, [&] { loop.Exit(); });
  const MonoTime limit = loop.Now() + Seconds(60);
  while ((begun < kCallers || closed == 0) && loop.Now() < limit) {
    end.ArmAt(loop.Now() + Millis(50));
    loop.Run();
  }
  BOOST_TEST(begun == kCallers);
  BOOST_TEST(closed > 0u);
  BOOST_TEST(server.OpenCalls() + closed == kCallers);
}

// The chunks of one read were one event each.
BOOST_FIXTURE_TEST_CASE(small_chunks_are_joined, RawCalls)
{
  constexpr size_t kChunks = 50000;
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (size_t chunk = 0; chunk < kChunks; ++chunk) {
    answer += "4\r\n:a\n\n\r\n";
  }
  answer += "0\r\n\r\n";
  Call(answer);
  BOOST_TEST(mEnded);
  BOOST_TEST(mBytes.size() == kChunks * 4);
  BOOST_TEST(mByteEvents < kChunks / 20);
}
