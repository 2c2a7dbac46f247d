// Guards against a check of a data folder that changes the folder, or that
// calls a folder sound on which a replica cannot start.
#define BOOST_TEST_MODULE tools_folder_check
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <map>

#include "tests/data_folder_fixture.h"
#include "tools/folder_check.h"

using namespace caraway;

namespace {

std::map<std::string, std::string>
ReadFiles(const std::string& aRoot)
{
  std::map<std::string, std::string> files;
  for (const auto& file : fs::recursive_directory_iterator(aRoot)) {
    std::ifstream in(file.path(), std::ios::binary);
    files[file.path().string()] =
      file.is_regular_file()
        ? std::string(std::istreambuf_iterator<char>(in), {})
        : std::string();
  }
  return files;
}

bool
Contains(const CliResult& aResult, const std::string& aText)
{
  return aResult.mText.find(aText) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(check_reports_and_changes_nothing)
{
  TemporaryFolder place{ Parent() };
  {
    auto folder = MustOpen(place.mPath);
    AppendRange(*folder, 1, 5, 3);
    BOOST_REQUIRE(folder->WriteBlob("b", 0, "four").ok());
    BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(4, 3), "state").ok());
    AppendRange(*folder, 6, 7, 3);
    const CliResult used = CheckDataFolder(place.mPath);
    BOOST_TEST((used.mCode == ExitCode::eUsage));
    BOOST_TEST(Contains(used, "in use"));
  }
  const fs::path log = FilesWithPrefix(place.mPath, "log-").back();
  std::ofstream(log, std::ios::binary | std::ios::app) << "torn";
  auto before = ReadFiles(place.mPath);
  const CliResult sound = CheckDataFolder(place.mPath);
  BOOST_TEST((sound.mCode == ExitCode::eOk));
  BOOST_TEST(Contains(sound, "snapshot_index: 4\n"));
  BOOST_TEST(Contains(sound, "last_index: 7\n"));
  BOOST_TEST(Contains(sound, "cut_bytes: 4\n"));
  BOOST_TEST(Contains(sound, R"(blobs: {"bytes":4,"files":1})"));
  BOOST_TEST((ReadFiles(place.mPath) == before));
  fs::remove(place.mPath + "/meta");
  before = ReadFiles(place.mPath);
  const CliResult damaged = CheckDataFolder(place.mPath);
  BOOST_TEST((damaged.mCode == ExitCode::eRefused));
  BOOST_TEST(Contains(damaged, place.mPath + "/meta is missing"));
  BOOST_TEST((ReadFiles(place.mPath) == before));
  BOOST_TEST((CheckDataFolder("/nowhere").mCode == ExitCode::eUsage));
}
