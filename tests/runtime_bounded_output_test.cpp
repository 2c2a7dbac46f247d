// Guards against a log that blocks the process when its reader is slow, or that
// is flooded with lines while many requests are refused.
#define BOOST_TEST_MODULE runtime_bounded_output
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>
#include <string>

#include <unistd.h>

#include "caraway/runtime/bounded_output.h"

using namespace caraway;

namespace {

struct Fixture
{
  Fixture()
  {
    int ends[2] = { -1, -1 };
    BOOST_REQUIRE(pipe(ends) == 0);
    mReader = ends[0];
    mOutput.mDescriptor = ends[1];
    MakeNonBlocking(mOutput);
  }

  ~Fixture()
  {
    close(mReader);
    close(mOutput.mDescriptor);
  }

  std::string Read()
  {
    std::string bytes(1 << 20, '\0');
    const ssize_t count = read(mReader, bytes.data(), bytes.size());
    bytes.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
    return bytes;
  }

  int mReader = -1;
  BoundedOutput mOutput;
};

size_t
Lines(const std::string& aBytes)
{
  return static_cast<size_t>(std::count(aBytes.begin(), aBytes.end(), '\n'));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(flood_is_rate_limited_and_leaves_room_for_warnings,
                        Fixture)
{
  mOutput.mLinesPerSecond = 100;
  for (int i = 0; i < 5000; ++i) {
    WriteBoundedLine(mOutput, MonoTime{ 0 }, false, "x");
  }
  BOOST_TEST(Lines(Read()) == 50);
  for (int i = 0; i < 5000; ++i) {
    WriteBoundedLine(mOutput, MonoTime{ 0 }, true, "warning");
  }
  // The other half of the limit, and the line with the number of dropped lines.
  const std::string warnings = Read();
  BOOST_TEST(Lines(warnings) == 51);
  BOOST_TEST(warnings.starts_with("event=log_dropped lines=4950\n"));
  WriteBoundedLine(mOutput, MonoTime{ 0 } + Seconds(1), false, "y");
  BOOST_TEST(Read() == "event=log_dropped lines=4950\ny\n");
}

BOOST_FIXTURE_TEST_CASE(stalled_reader_does_not_block_the_writer, Fixture)
{
  mOutput.mLinesPerSecond = 1000000;
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) { // more than a pipe holds
    WriteBoundedLine(mOutput, MonoTime{ 0 }, true, line);
  }
  const std::string held = Read();
  WriteBoundedLine(mOutput, MonoTime{ 0 }, true, "again");
  const std::string rest = Read();
  BOOST_TEST(rest.ends_with("\nagain\n"));
  // No line is truncated, and the reported counts add up to the dropped lines.
  const std::string prefix = "event=log_dropped lines=";
  uint64_t written = 0;
  uint64_t told = 0;
  std::istringstream lines(held + rest);
  for (std::string one; std::getline(lines, one);) {
    if (one.starts_with(prefix)) {
      told += std::stoull(one.substr(prefix.size()));
    } else if (one == line) {
      ++written;
    } else {
      BOOST_TEST(one == "again");
    }
  }
  BOOST_TEST(written > 0u);
  BOOST_TEST(told > 0u);
  BOOST_TEST(written + told == 1000u);
}
