#pragma once
// Forms: multipart bodies and query strings, read by GNU cgicc.

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace caraway {

struct FormField
{
  std::string mValue;    // content
  std::string mFileName; // empty for plain fields
};

using Form = std::map<std::string, FormField>;

absl::StatusOr<Form>
ParseMultipart(const std::string& aContentType, const std::string& aBody);

absl::StatusOr<Form>
ParseQuery(const std::string& aQuery);

// Content of a field, empty if absent.
std::string
FieldValue(const Form& aForm, const std::string& aName);

} // namespace caraway
