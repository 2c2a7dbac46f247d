// Guards against outputs of items that come back changed or not at all, because
// of their characters or their size.
#define BOOST_TEST_MODULE platform_whole_result
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/base/random.h"
#include "caraway/ledger/ledger_state.h"
#include "caraway/node/batch_line.h"
#include "platform/jobs_json.h"

using namespace caraway;

namespace {

constexpr size_t kMostIdBytes = 1000; // of an item

// Characters of one kind, as they stand in UTF-8.
struct Alphabet
{
  const char* mName;
  std::vector<std::string> mCharacters;
};

const std::vector<Alphabet>&
Alphabets()
{
  static const std::vector<Alphabet> kAlphabets{
    { "letters", { "a", "Z", "7", " " } },
    { "as in JSON inside a JSON string", { "\\", "\"", "/" } },
    { "control characters", { "\x01", "\x1f", "\x7f", "\n", "\r", "\t" } },
    { "zero bytes", { std::string(1, '\0') } },
    { "two to four bytes",
      { "\u00e5", "\u20ac", "\u2028", "\ufeff", "\U0001f600" } },
    { "all",
      { "a", "\\", "\"", "\x02", "\n", "\u2029", "\U0010ffff", "}", "<" } },
  };
  return kAlphabets;
}

std::string
RandomText(Random& aRandom, const Alphabet& aAlphabet, size_t aBytes)
{
  std::string text;
  while (true) {
    const std::string& next =
      aAlphabet.mCharacters[DrawBelow(aRandom, aAlphabet.mCharacters.size())];
    if (text.size() + next.size() > aBytes) {
      return text;
    }
    text += next;
  }
}

std::string
LineOf(const std::string& aId, std::string aText)
{
  BatchTask task;
  task.mCustomId = aId;
  task.mText = std::move(aText);
  return RawOutputLine(task);
}

// The results in the reply to a read of the lines.
nlohmann::json
Read(const std::string& aLines, uint64_t aNext)
{
  FileBytesReply reply;
  reply.mBytes = aLines;
  reply.mNextOffset = aNext;
  reply.mTotal = 1000;
  return nlohmann::json::parse(platform::WriteResults(reply));
}

} // namespace

BOOST_AUTO_TEST_CASE(output_of_any_characters_comes_back_as_it_was)
{
  Random random(1);
  for (const Alphabet& alphabet : Alphabets()) {
    // Nothing, the largest of the sheets that are known, and the largest kept.
    for (const size_t bytes : { size_t{ 0 },
                                size_t{ 1 },
                                size_t{ 1000 },
                                size_t{ 148680 },
                                kMaxRawText }) {
      const std::string text = RandomText(random, alphabet, bytes);
      const std::string id(kMostIdBytes, 'i');
      const std::string line = LineOf(id, text);
      BOOST_TEST(line.find('\n') == std::string::npos);
      BOOST_TEST(line.size() + kMaxElementOverhead <= kMaxResultBytes,
                 alphabet.mName << " " << bytes << " " << line.size());
      const nlohmann::json reply = Read(line + "\n", 1);
      BOOST_TEST(reply["next"] == 1);
      BOOST_REQUIRE(reply["results"].size() == 1u);
      const nlohmann::json& result = reply["results"][0];
      BOOST_TEST(result["id"] == id);
      BOOST_TEST(result["state"] == "completed");
      BOOST_TEST((result["output"] == text), alphabet.mName << " " << bytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(reply_has_at_most_a_megabyte_of_results)
{
  constexpr size_t kMostBytes = 1000000;
  constexpr size_t kText = 30000;
  constexpr uint64_t kAfter = 5;
  Random random(2);
  for (const Alphabet& alphabet : Alphabets()) {
    std::string lines;
    std::vector<std::string> texts;
    // As many as control sends at a time.
    while (lines.size() < kMaxPartBytes) {
      texts.push_back(RandomText(random, alphabet, kText));
      lines += LineOf(absl::StrCat("i", texts.size()), texts.back()) + "\n";
    }
    FileBytesReply reply;
    reply.mBytes = lines;
    reply.mNextOffset = kAfter + texts.size();
    const std::string text = platform::WriteResults(reply);
    BOOST_TEST(text.size() <= kMostBytes, alphabet.mName);
    const nlohmann::json json = nlohmann::json::parse(text);
    const size_t listed = json["results"].size();
    BOOST_TEST(listed > 0u);
    BOOST_TEST(json["next"] == kAfter + listed);
    for (size_t at = 0; at < listed; ++at) {
      BOOST_TEST((json["results"][at]["output"] == texts[at]));
    }
  }
}

BOOST_AUTO_TEST_CASE(failed_item_has_no_output)
{
  for (const char* line : { R"({"custom_id":"a","error":{"code":"x"}})",
                            R"({"custom_id":"a","output_base64":"*"})",
                            R"({"custom_id":"a","output_base64":7})" }) {
    const nlohmann::json result =
      Read(absl::StrCat(line, "\n"), 1)["results"][0];
    BOOST_TEST(result["state"] == "dead_letter");
    BOOST_TEST(result["output"] == "");
    BOOST_TEST(result["id"] == "a");
  }
}
