// Parses forms with GNU cgicc.

#include "caraway/entry/form.h"

#include <algorithm>
#include <cstring>

#include <cgicc/CgiInput.h>
#include <cgicc/Cgicc.h>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

// Passes a request in memory to cgicc.
class MemoryCgiInput : public cgicc::CgiInput
{
public:
  MemoryCgiInput(std::map<std::string, std::string> aVariables,
                 const std::string& aBody)
    : mVariables(std::move(aVariables))
    , mBody(aBody)
  {
  }

  size_t read(char* aData, size_t aLength) override
  {
    const size_t count = std::min(aLength, mBody.size() - mRead);
    std::memcpy(aData, mBody.data() + mRead, count);
    mRead += count;
    return count;
  }

  std::string getenv(const char* aName) override
  {
    auto variable = mVariables.find(aName);
    return variable == mVariables.end() ? std::string() : variable->second;
  }

private:
  std::map<std::string, std::string> mVariables;
  const std::string& mBody;
  size_t mRead = 0;
};

absl::Status
Malformed(const char* aWhat)
{
  return MakeError(ErrorKind::eInvalidArgument,
                   aWhat,
                   "send the form as multipart/form-data with a boundary");
}

absl::StatusOr<Form>
ReadForm(std::map<std::string, std::string> aVariables,
         const std::string& aBody)
{
  try {
    MemoryCgiInput input(std::move(aVariables), aBody);
    const cgicc::Cgicc cgi(&input);
    Form form;
    for (const cgicc::FormEntry& entry : cgi.getElements()) {
      form[entry.getName()] = { entry.getValue(), "" };
    }
    for (const cgicc::FormFile& file : cgi.getFiles()) {
      form[file.getName()] = { file.getData(), file.getFilename() };
    }
    return form;
  } catch (const std::exception&) {
    return Malformed("the form is malformed");
  }
}

} // namespace

absl::StatusOr<Form>
ParseMultipart(const std::string& aContentType, const std::string& aBody)
{
  if (!absl::StartsWithIgnoreCase(aContentType, "multipart/form-data") ||
      !absl::StrContains(absl::AsciiStrToLower(aContentType), "boundary=")) {
    return Malformed("the body is not a multipart form");
  }
  return ReadForm({ { "REQUEST_METHOD", "POST" },
                    { "CONTENT_TYPE", aContentType },
                    { "CONTENT_LENGTH", std::to_string(aBody.size()) } },
                  aBody);
}

absl::StatusOr<Form>
ParseQuery(const std::string& aQuery)
{
  static const std::string kNoBody;
  return ReadForm({ { "REQUEST_METHOD", "GET" }, { "QUERY_STRING", aQuery } },
                  kNoBody);
}

std::string
FieldValue(const Form& aForm, const std::string& aName)
{
  auto field = aForm.find(aName);
  return field == aForm.end() ? std::string() : field->second.mValue;
}

} // namespace caraway
