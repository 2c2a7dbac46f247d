// Opens data folders in which names of removed log segments are back, or
// segments are lost.
#define BOOST_TEST_MODULE runtime_lost_names
#include <boost/test/unit_test.hpp>

#include "caraway/base/error.h"
#include "tests/data_folder_fixture.h"

using namespace caraway;

// Guards against a folder that a power loss right after a snapshot leaves
// without a way to open it: names of some removed segments are back.
BOOST_AUTO_TEST_CASE(any_removed_segments_may_come_back)
{
  for (const uint64_t segmentBytes : { 300, 900, 16 << 20 }) {
    TemporaryFolder place;
    DataFolderSettings settings;
    settings.mSegmentBytes = segmentBytes;
    std::map<std::string, fs::path> removed;
    TemporaryFolder copies;
    {
      auto folder = MustOpen(place.mPath, settings);
      AppendRange(*folder, 1, 9, 1);
      BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(3, 1), "older").ok());
      AppendRange(*folder, 10, 14, 1);
      fs::copy(place.mPath, copies.mPath, fs::copy_options::recursive);
      BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(12, 1), "the state").ok());
      AppendRange(*folder, 15, 15, 1);
    }
    for (const fs::path& file : FilesWithPrefix(copies.mPath, "log-")) {
      if (!fs::exists(place.mPath / file.filename())) {
        removed[file.filename()] = file;
      }
    }
    BOOST_REQUIRE(!removed.empty() && removed.size() < 12);
    for (uint64_t subset = 0; subset < (uint64_t{ 1 } << removed.size());
         ++subset) {
      TemporaryFolder state;
      fs::copy(place.mPath,
               state.mPath,
               fs::copy_options::recursive |
                 fs::copy_options::overwrite_existing);
      uint64_t bit = 1;
      for (const auto& [name, path] : removed) {
        if ((subset & bit) != 0) {
          fs::copy_file(path, state.mPath + "/" + name);
        }
        bit <<= 1;
      }
      auto folder = DataFolder::Open(state.mPath, settings);
      BOOST_REQUIRE_MESSAGE(folder.ok(), folder.status().ToString());
      BOOST_TEST((*folder)->RecoveredState() == "the state");
      const RaftRecovered recovered = (*folder)->Recovered();
      BOOST_REQUIRE_EQUAL(recovered.mEntries.size(), 3u);
      BOOST_TEST(recovered.mEntries.back().mIndex.mValue == 15u);
    }
  }
}

// Guards against a lost segment that is taken for a removed one: the entries in
// it were acknowledged.
BOOST_AUTO_TEST_CASE(lost_segment_is_not_taken_for_a_removed_one)
{
  DataFolderSettings settings;
  settings.mSegmentBytes = 300;
  for (size_t lost = 0; lost < 4; ++lost) {
    TemporaryFolder place;
    {
      auto folder = MustOpen(place.mPath, settings);
      AppendRange(*folder, 1, 4, 1);
      BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(2, 1), "the state").ok());
      AppendRange(*folder, 5, 20, 1);
    }
    const auto segments = FilesWithPrefix(place.mPath, "log-");
    BOOST_REQUIRE(segments.size() > 4u);
    // With all earlier ones, or alone.
    for (size_t at = lost == 3 ? 0 : lost; at <= lost; ++at) {
      fs::remove(segments[at]);
    }
    BOOST_TEST((KindOf(DataFolder::Open(place.mPath, settings).status()) ==
                ErrorKind::eCorruptData));
  }
}
