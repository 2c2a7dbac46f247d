// Output lines that the ledger writes itself.

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
  // Replaces bytes that are not UTF-8, for example a character cut in two.
  return line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace caraway
