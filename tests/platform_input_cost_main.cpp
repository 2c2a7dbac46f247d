// Reads JSON of many shapes at each place that takes it from outside, at two
// sizes. tests/input_cost.sh runs it under valgrind, which counts the
// instructions of each reading, and compares the two.

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <valgrind/callgrind.h>

#include "caraway/base/json_text.h"
#include "caraway/entry/completion_request.h"
#include "caraway/node/batch_line.h"
#include "caraway/node/target_json.h"
#include "platform/heartbeat_json.h"
#include "platform/jobs_json.h"
#include "platform/plan_json.h"
#include "platform/rollout_json.h"
#include "tests/json_shapes.h"

using namespace caraway;

namespace {

constexpr size_t kSmallBytes = 128 << 10;

struct Door
{
  const char* mName;
  // What stands round the shape in the text that is read.
  std::string mBefore;
  std::string mAfter;
  std::function<void(const std::string&)> mRead;
};

void
ReadJobText(const std::string& aText)
{
  ForwardRequest request;
  request.mBody = aText;
  (void)platform::ReadJob(request);
}

std::vector<Door>
Doors()
{
  const std::string item =
    R"({"requests":[{"id":"i","path":"/p","tokenCount":1,"headers":)";
  return {
    { "json",
      "",
      "",
      [](const std::string& aText) { (void)ParseJson(aText); } },
    { "job", R"({"requests":)", "}", ReadJobText },
    { "item", item, "}]}", ReadJobText },
    { "heartbeat",
      R"({"service":"s","models":)",
      "}",
      [](const std::string& aText) {
        (void)platform::ReadHeartbeat("t", aText);
      } },
    { "farewell",
      R"({"service":"s","models":)",
      "}",
      [](const std::string& aText) {
        (void)platform::ReadFarewell("t", aText);
      } },
    { "plan_routes",
      R"({"version":1,"services":[],"routeTable":)",
      "}",
      [](const std::string& aText) { (void)platform::ReadPlan(aText); } },
    { "plan",
      R"({"version":1,"services":[],"routeTable":[],"x":)",
      "}",
      [](const std::string& aText) { (void)platform::ReadPlan(aText); } },
    { "rollout",
      R"({"service":"s","to":)",
      "}",
      [](const std::string& aText) { (void)platform::ReadRollout(aText); } },
    { "announcement",
      R"({"target":"t","kind":"engine","models":)",
      "}",
      [](const std::string& aText) { (void)ParseAnnouncement(aText); } },
    { "load",
      R"({"running":1,"more":)",
      "}",
      [](const std::string& aText) { (void)ParseLoad(aText); } },
    { "batch_line",
      R"({"custom_id":"c","body":)",
      "}",
      [](const std::string& aText) {
        (void)ParseBatchLine(aText, "/v1/completions");
      } },
    { "output_line",
      R"({"choices":)",
      "}",
      [](const std::string& aText) { (void)OutputLine(BatchTask(), aText); } },
    { "completion",
      R"({"model":"m","prompt":)",
      "}",
      [](const std::string& aText) {
        TargetCall call;
        (void)ReadCompletion(CompletionKind::eText, aText, call);
      } },
  };
}

} // namespace

int
main()
{
  for (const Door& door : Doors()) {
    for (const JsonShape& shape : kJsonShapes) {
      for (const size_t bytes : { kSmallBytes, 2 * kSmallBytes }) {
        const std::string text =
          door.mBefore + shape.mMake(bytes) + door.mAfter;
        const std::string name = std::string(door.mName) + " " + shape.mName +
                                 " " + std::to_string(bytes);
        CALLGRIND_ZERO_STATS;
        door.mRead(text);
        CALLGRIND_DUMP_STATS_AT(name.c_str());
      }
    }
  }
  std::puts("done");
  return 0;
}
