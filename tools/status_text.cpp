// Formats the output of `caraway status`.

#include "tools/status_text.h"

#include <map>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

std::string
MemberLine(const Json& aMember)
{
  std::string offers;
  for (const Json& offer : aMember.value("offers", Json::array())) {
    absl::StrAppend(
      &offers, offers.empty() ? "" : ",", offer.get<std::string>());
  }
  std::string trouble;
  if (aMember.value("draining", false)) {
    trouble += " draining";
  }
  if (!aMember.value("leased", true)) {
    trouble += " lease-expired";
  }
  if (!aMember.value("target_in_service", true)) {
    trouble += " target-out";
  }
  return absl::StrFormat("  %-5s %-20s %-12s %-20s %4d/%-4d %s%s\n",
                         aMember.value("role", ""),
                         aMember.value("instance", ""),
                         aMember.value("zone", ""),
                         aMember.value("target", "-"),
                         aMember.value("running", 0),
                         aMember.value("limit", 0),
                         offers,
                         trouble);
}

} // namespace

std::string
FormatStatus(const std::string& aJson)
{
  const Json status = Json::parse(aJson, nullptr, false);
  if (!status.is_object()) {
    return aJson;
  }
  const uint64_t revision = status.value("revision", 0ULL);
  const uint64_t inForce = status.value("revision_in_force", 0ULL);
  std::string text = absl::StrFormat(
    "leader    %s (replica %d, term %d)\n"
    "revision  %d, in force %d%s\n"
    "contracts %d, keys %d\n",
    status.value("/leader/address"_json_pointer, std::string("unknown")),
    status.value("/leader/id"_json_pointer, 0ULL),
    status.value("term", 0ULL),
    revision,
    inForce,
    inForce < revision ? " (spreading)" : "",
    status.value("contracts", 0ULL),
    status.value("keys", 0ULL));
  for (const Json& replica : status.value("replicas", Json::array())) {
    absl::StrAppendFormat(&text,
                          "replica   %d %s%s, silent %d ms, lag %d\n",
                          replica.value("id", 0ULL),
                          replica.value("address", ""),
                          replica.value("voter", true) ? "" : " (learner)",
                          replica.value("silence_ms", 0LL),
                          replica.value("lag", 0ULL));
  }
  if (const Json group = status.value("group", Json()); group.is_object()) {
    absl::StrAppendFormat(&text,
                          "group     %d of %d voters heard, %d learners, bears "
                          "%d more losses\n",
                          group.value("voters_heard", 0ULL),
                          group.value("voters", 0ULL),
                          group.value("learners", 0ULL),
                          group.value("losses_borne", 0ULL));
  }
  for (const Json& zone : status.value("zones", Json::array())) {
    absl::StrAppendFormat(&text,
                          "zone      %-14s %s, %d members\n",
                          zone.value("zone", ""),
                          zone.value("in_service", true) ? "in" : "OUT",
                          zone.value("members", 0ULL));
  }
  for (const Json& job : status.value("jobs_at_risk", Json::array())) {
    absl::StrAppend(&text, "at risk   ", job.dump(), "\n");
  }
  text += "members   role instance zone target running/limit offers\n";
  for (const Json& member : status.value("members", Json::array())) {
    text += MemberLine(member);
  }
  if (!text.empty()) {
    text.pop_back();
  }
  return text;
}

} // namespace caraway
