// The output line of an item that failed without a result from a target.

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/ledger/internal.h"

namespace caraway {

std::string
ErrorLine(const JobId& aJob,
          uint32_t aItem,
          const std::string& aItemId,
          std::string_view aCode,
          std::string_view aMessage)
{
  constexpr size_t kMaxMessageBytes = 1024;
  nlohmann::ordered_json line;
  line["id"] = absl::StrCat("batch_req_", aJob.mValue, "_", aItem);
  line["custom_id"] = aItemId.empty() ? nlohmann::ordered_json()
                                      : nlohmann::ordered_json(aItemId);
  line["line"] = aItem;
  line["response"] = nullptr;
  line["error"]["code"] = std::string(aCode);
  line["error"]["message"] = std::string(aMessage.substr(0, kMaxMessageBytes));
  // Replaces bytes that are not valid UTF-8, such as a character cut by the
  // length limit.
  return line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace caraway
