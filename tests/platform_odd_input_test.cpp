// Guards against input of faulty or foreign writers that ends a process, or
// that costs other writers their place: JSON nested so deeply that copying it
// overflows the stack, numbers out of range, and names that fill a message.
#define BOOST_TEST_MODULE platform_odd_input
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/base/json_text.h"
#include "platform/heartbeat_json.h"
#include "platform/jobs_json.h"
#include "platform/plan_json.h"
#include "tests/json_shapes.h"

using namespace caraway;

namespace {

constexpr size_t kDeep = 200000; // levels; far more than a stack holds

std::string
DeepObject(size_t aLevels)
{
  std::string text;
  for (size_t level = 0; level < aLevels; ++level) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aLevels, '}');
}

std::string
Heartbeat(const std::string& aField, const std::string& aValue)
{
  nlohmann::json json = { { "service", "s" }, { "address", "10.0.0.1:80" },
                          { "zone", "a" },    { "version", "v1" },
                          { "slots", 8 },     { "state", "ready" },
                          { "callSeq", 4 },   { "born", 1700000000000 } };
  json[aField] = "MARK";
  std::string text = json.dump();
  text.replace(text.find("\"MARK\""), 6, aValue);
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(json_is_read_up_to_its_depth_limit)
{
  BOOST_TEST(ParseJson(Deep(kMaxJsonDepth)).is_array());
  BOOST_TEST(ParseJson(DeepObject(kMaxJsonDepth)).is_object());
  BOOST_TEST(ParseJson(DeepObject(kMaxJsonDepth + 1)).is_discarded());
  BOOST_TEST(ParseJson(Deep(kMaxJsonDepth + 1)).is_discarded());
  BOOST_TEST(ParseJson(Deep(kDeep)).is_discarded());
  BOOST_TEST(ParseJson(DeepObject(kDeep)).is_discarded());
  BOOST_TEST(ParseJson(std::string(kDeep, '[')).is_discarded());
  BOOST_TEST(ParseJson(R"({"a":[1,{"b":"]]]}}}"}],"c":null})").is_object());
  BOOST_TEST(ParseJson("[1,]").is_discarded());
  BOOST_TEST(ParseJson("").is_discarded());
}

BOOST_AUTO_TEST_CASE(odd_heartbeat_is_refused)
{
  BOOST_REQUIRE(
    platform::ReadHeartbeat("i-1", Heartbeat("version", "\"v2\"")).ok());
  const std::string longName = "\"" + std::string(5000, 'n') + "\"";
  for (const char* field : { "service",
                             "address",
                             "zone",
                             "version",
                             "slots",
                             "state",
                             "callSeq",
                             "born",
                             "models" }) {
    for (const std::string& value : { Deep(kDeep), DeepObject(kDeep) }) {
      BOOST_TEST(!platform::ReadHeartbeat("i-1", Heartbeat(field, value)).ok(),
                 field);
      platform::ReadFarewell("i-1", Heartbeat(field, value));
    }
  }
  for (const char* field : { "service", "address", "zone", "version" }) {
    BOOST_TEST(!platform::ReadHeartbeat("i-1", Heartbeat(field, longName)).ok(),
               field);
  }
  for (const char* field : { "slots", "callSeq", "born" }) {
    for (const char* value : { "-1",
                               "18446744073709551615",
                               "99999999999999999999999999",
                               "1e300",
                               "1e999",
                               "9223372036854775807" }) {
      BOOST_TEST(!platform::ReadHeartbeat("i-1", Heartbeat(field, value)).ok(),
                 field << " " << value);
    }
  }
  for (const char* address : { "\"10.0.0.1:65536\"",
                               "\"10.0.0.1:99999999999999999999\"",
                               "\"10.0.0.1:-1\"",
                               "\"10.0.0.1\"",
                               "\"[::1\"",
                               "\"\"" }) {
    BOOST_TEST(
      !platform::ReadHeartbeat("i-1", Heartbeat("address", address)).ok(),
      address);
  }
  BOOST_TEST(!platform::ReadHeartbeat(std::string(5000, 'i'),
                                      Heartbeat("version", "\"v1\""))
                .ok());
}

// Control compares addresses as text. Two texts of one address would let two
// targets have records there.
BOOST_AUTO_TEST_CASE(address_is_read_in_one_form)
{
  for (const char* address : { "10.0.0.1:8080", "10.0.0.1:08080" }) {
    const auto heartbeat = platform::ReadHeartbeat(
      "i-1", Heartbeat("address", absl::StrCat("\"", address, "\"")));
    BOOST_REQUIRE(heartbeat.ok());
    BOOST_TEST(heartbeat->mTarget.mAddress == "10.0.0.1:8080");
  }
  for (const char* address : { "[::1]:8080", "[0:0::1]:8080" }) {
    const auto heartbeat = platform::ReadHeartbeat(
      "i-1", Heartbeat("address", absl::StrCat("\"", address, "\"")));
    BOOST_REQUIRE(heartbeat.ok());
    BOOST_TEST(heartbeat->mTarget.mAddress == "[::1]:8080");
  }
}

BOOST_AUTO_TEST_CASE(farewell_names_the_service_that_it_says)
{
  BOOST_TEST(
    (platform::ReadFarewell("i-1", R"({"service":"metrics-agent"})").mService ==
     ServiceId("metrics-agent")));
  BOOST_TEST(
    platform::ReadFarewell("i-1", R"({"service":7})").mService.Empty());
  BOOST_TEST(platform::ReadFarewell("i-1", "").mService.Empty());
}

// The start time of a target orders its heartbeats. One that is far in the
// future would keep the real ones out.
BOOST_AUTO_TEST_CASE(farewell_with_an_impossible_start_names_none)
{
  for (const char* born : { "-5", "18446744073709551615", "1e300", "\"x\"" }) {
    BOOST_TEST(
      platform::ReadFarewell("i-1", Heartbeat("born", born)).mStartedAt == 0,
      born);
  }
  BOOST_TEST(
    platform::ReadFarewell("i-1", Heartbeat("born", "17")).mStartedAt == 17);
}

BOOST_AUTO_TEST_CASE(deeply_nested_jobs_and_plans_are_refused)
{
  const std::string head =
    R"({"requests":[{"id":"i","path":"/p","body":"","tokenCount":1,)";
  ForwardRequest request;
  request.mId = RequestId("j");
  request.mBody = head + R"("headers":)" + DeepObject(kDeep) + "}]}";
  BOOST_TEST(!platform::ReadJob(request).ok());
  request.mBody = head + R"("other":)" + Deep(kDeep) + "}]}";
  BOOST_TEST(!platform::ReadJob(request).ok());
  request.mBody = head + R"("headers":{"Model":"m"}}]})";
  BOOST_TEST(platform::ReadJob(request).ok());
  const std::string plan =
    R"({"version":1,"routeTable":[],"services":[],"tenants":)";
  BOOST_TEST(!platform::ReadPlan(plan + Deep(kDeep) + "}").ok());
  BOOST_TEST(platform::ReadPlan(plan + "[]}").ok());
}

BOOST_AUTO_TEST_CASE(json_is_read_up_to_its_bound_of_values)
{
  // A list of three and itself.
  BOOST_TEST(ParseJson("[1,{},[]]", 4).is_array());
  BOOST_TEST(ParseJson("[1,{},[]]", 3).is_discarded());
  BOOST_TEST(ParseJson(R"({"a":1,"a":2,"a":3})", 4).is_object());
  BOOST_TEST(ParseJson(R"({"a":1,"a":2,"a":3})", 3).is_discarded());
  for (const JsonShape& shape : kJsonShapes) {
    // Texts of up to 400 kB are not refused for the number of their values.
    const std::string text = shape.mMake(2 * kMaxJsonValues - 10000);
    BOOST_TEST((ParseJson(text) == nlohmann::json::parse(text)), shape.mName);
  }
}

BOOST_AUTO_TEST_CASE(elements_of_lists_are_passed_on_one_by_one)
{
  constexpr JsonBounds kMany{ 100, 100 };
  std::string seen;
  const auto see = [&](const std::string& aList, nlohmann::json& aElement) {
    seen += aList + aElement.dump();
    return aElement != "stop";
  };
  const nlohmann::json rest = ParseJsonLists(
    R"({"a":[1,[2,{"b":[3]}],{}],"c":{"d":[4]},"e":[],"f":[null]})",
    kMany,
    see);
  BOOST_TEST(seen == R"(a1a[2,{"b":[3]}]a{}fnull)");
  BOOST_TEST(rest.dump() == R"({"a":[],"c":{"d":[4]},"e":[],"f":[]})");
  BOOST_TEST(ParseJsonLists("[[1],[2]]", kMany, see).dump() == "[[1],[2]]");
  BOOST_TEST(ParseJsonLists(R"({"a":[1],"a":[2]})", kMany, see).is_discarded());
  BOOST_TEST(ParseJsonLists(R"({"a":["stop",2]})", kMany, see).is_discarded());
  BOOST_TEST(ParseJsonLists(R"({"a":[1,2)", kMany, see).is_discarded());
  // The object, the list and its two elements.
  BOOST_TEST(ParseJsonLists(R"({"a":[1,2]})", { 3, 3 }, see).is_discarded());
  BOOST_TEST(!ParseJsonLists(R"({"a":[1,2]})", { 4, 3 }, see).is_discarded());
  BOOST_TEST(ParseJsonLists(R"({"a":[1,[2]]})", { 5, 3 }, see).is_discarded());
  BOOST_TEST(!ParseJsonLists(R"({"a":[1,[2],[3]],"b":4})", { 9, 4 }, see)
                .is_discarded());
}

BOOST_AUTO_TEST_CASE(job_has_as_many_items_as_the_protocol_allows)
{
  const auto job = [](size_t aItems) {
    std::string items;
    for (size_t at = 0; at < aItems; ++at) {
      items += absl::StrCat(at == 0 ? "" : ",",
                            R"({"id":"i)",
                            at,
                            R"(","path":"/p","body":"","tokenCount":1})");
    }
    ForwardRequest request;
    request.mId = RequestId("j");
    request.mBody = absl::StrCat(R"({"requests":[)", items, "]}");
    return platform::ReadJob(request);
  };
  BOOST_REQUIRE(job(200).ok());
  BOOST_TEST(job(200)->mItems.size() == 200u);
  BOOST_TEST(!job(201).ok());
  BOOST_TEST(!job(50000).ok());
}

// Lists of another type, or given twice, cannot be read in full.
BOOST_AUTO_TEST_CASE(odd_lists_are_refused)
{
  ForwardRequest request;
  request.mId = RequestId("j");
  const std::string item = R"({"id":"i","path":"/p","body":"","tokenCount":1})";
  for (const std::string& requests : { "{\"a\":" + item + "}",
                                       item,
                                       std::string("7"),
                                       std::string("null") }) {
    request.mBody = R"({"requests":)" + requests + "}";
    BOOST_TEST(!platform::ReadJob(request).ok(), requests);
  }
  request.mBody = R"({"requests":[)" + item + R"(],"requests":[)" + item + "]}";
  BOOST_TEST(!platform::ReadJob(request).ok());
  request.mBody = R"({"requests":[)" + item + R"(],"requests":7})";
  BOOST_TEST(!platform::ReadJob(request).ok());
  for (const char* list : { "{}", "7", "null", "\"x\"", "[7]" }) {
    BOOST_TEST(
      !platform::ReadPlan(
         absl::StrCat(R"({"version":1,"services":[],"routeTable":)", list, "}"))
         .ok(),
      list);
  }
}
