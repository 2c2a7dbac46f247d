#pragma once
// Parses forms (multipart bodies and query strings) with GNU cgicc.

#include <map>
#include <string>

#include "absl/status/statusor.h"

namespace caraway {

struct FormField
{
  std::string mValue;
  std::string mFileName; // empty if the field is not a file
};

// Fields by name.
using Form = std::map<std::string, FormField>;

absl::StatusOr<Form>
ParseMultipart(const std::string& aContentType, const std::string& aBody);

absl::StatusOr<Form>
ParseQuery(const std::string& aQuery);

// Returns the value of a field, empty if absent.
std::string
FieldValue(const Form& aForm, const std::string& aName);

} // namespace caraway
