// Settings from command-line flags and environment variables.

#include "caraway/runtime/settings_reader.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include <docopt/docopt.h>
#include <unistd.h>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "caraway/runtime/process_end.h"
#include "caraway/runtime/socket_address.h"

namespace caraway {

namespace {

std::string
VariableName(const std::string& aPrefix, const std::string& aName)
{
  return absl::StrCat(
    aPrefix,
    "_",
    absl::AsciiStrToUpper(absl::StrReplaceAll(aName, { { "-", "_" } })));
}

std::map<std::string, docopt::value>
ParseFlags(const std::string& aUsage, int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  try {
    return docopt::docopt_parse(aUsage, arguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage << '\n';
    EndUnlogged(ProcessEnd::eStopped);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "carawayyard " << CARAWAY_VERSION << '\n';
    EndUnlogged(ProcessEnd::eStopped);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n\n" << aUsage << '\n';
    EndUnlogged(ProcessEnd::eBadSettings);
  }
}

} // namespace

SettingsReader::SettingsReader(const std::string& aUsage,
                               const std::string& aPrefix,
                               int aArgumentCount,
                               char** aArguments)
  : mPrefix(aPrefix)
{
  std::map<std::string, std::string> flagOfVariable;
  for (const auto& [flag, value] :
       ParseFlags(aUsage, aArgumentCount, aArguments)) {
    const std::string name = flag.starts_with("--") ? flag.substr(2) : flag;
    flagOfVariable[VariableName(aPrefix, name)] = name;
    if (value.isBool() && value.asBool()) {
      mValues[name] = "true";
    } else if (value.isString()) {
      mValues[name] = value.asString();
    } else if (value.isStringList() && !value.asStringList().empty()) {
      mValues[name] = absl::StrJoin(value.asStringList(), "\n");
    }
  }
  mCheckOnly = mValues.contains("check");
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string text = *variable;
    const size_t equals = text.find('=');
    if (!text.starts_with(aPrefix + "_") || equals == std::string::npos) {
      continue;
    }
    const auto flag = flagOfVariable.find(text.substr(0, equals));
    if (flag == flagOfVariable.end()) {
      NoteError(text.substr(0, equals),
                "unknown environment variable",
                "see --help for the options; unset it if it is not intended");
      continue;
    }
    mValues.try_emplace(flag->second, text.substr(equals + 1));
  }
}

bool
SettingsReader::Find(const std::string& aName, std::string& aValue) const
{
  const auto value = mValues.find(aName);
  if (value == mValues.end()) {
    return false;
  }
  aValue = value->second;
  return true;
}

void
SettingsReader::NoteError(const std::string& aName,
                          const std::string& aWhat,
                          const std::string& aRemedy)
{
  mErrors.push_back(absl::StrCat(aName, ": ", aWhat, "; ", aRemedy));
}

std::string
SettingsReader::Required(const std::string& aName)
{
  std::string value;
  if (!Find(aName, value) || value.empty()) {
    NoteError(
      absl::StrCat("--", aName),
      "missing",
      absl::StrCat("give the flag or set ", VariableName(mPrefix, aName)));
  }
  return value;
}

std::string
SettingsReader::Optional(const std::string& aName, const std::string& aDefault)
{
  std::string value;
  return Find(aName, value) ? value : aDefault;
}

uint64_t
SettingsReader::Number(const std::string& aName,
                       uint64_t aDefault,
                       uint64_t aLowest,
                       uint64_t aHighest)
{
  std::string text;
  if (!Find(aName, text)) {
    return aDefault;
  }
  uint64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < aLowest || value > aHighest) {
    NoteError(absl::StrCat("--", aName),
              absl::StrCat("'", text, "' is not a whole number in range"),
              absl::StrCat("give ", aLowest, " to ", aHighest));
    return aDefault;
  }
  return value;
}

double
SettingsReader::Fraction(const std::string& aName, double aDefault)
{
  return Decimal(aName, aDefault, 0, 10);
}

double
SettingsReader::Decimal(const std::string& aName,
                        double aDefault,
                        double aLowest,
                        double aHighest)
{
  std::string text;
  if (!Find(aName, text) || text.empty()) {
    return aDefault;
  }
  double value = 0;
  if (!absl::SimpleAtod(text, &value) || !(value >= aLowest) ||
      value > aHighest) {
    NoteError(absl::StrCat("--", aName),
              absl::StrCat("'", text, "' is not a number in range"),
              absl::StrCat("give ", aLowest, " to ", aHighest));
    return aDefault;
  }
  return value;
}

Duration
SettingsReader::Milliseconds(const std::string& aName,
                             Duration aDefault,
                             Duration aLowest,
                             Duration aHighest)
{
  return Millis(
    static_cast<int64_t>(Number(aName,
                                static_cast<uint64_t>(aDefault.Millis()),
                                static_cast<uint64_t>(aLowest.Millis()),
                                static_cast<uint64_t>(aHighest.Millis()))));
}

bool
SettingsReader::Flag(const std::string& aName)
{
  return Choice(aName, "false", { "true", "false" }) == "true";
}

std::string
SettingsReader::Address(const std::string& aName)
{
  std::string text = Required(aName);
  if (!text.empty() && !ParseSocketAddress(text).ok()) {
    NoteError(absl::StrCat("--", aName),
              absl::StrCat("'", text, "' is not an address"),
              "write it as IP:PORT, for example 127.0.0.1:7100");
  }
  return text;
}

std::vector<std::string>
SettingsReader::AddressList(const std::string& aName)
{
  std::vector<std::string> addresses =
    absl::StrSplit(Required(aName), ',', absl::SkipEmpty());
  for (const std::string& address : addresses) {
    if (!ParseSocketAddress(address).ok()) {
      NoteError(absl::StrCat("--", aName),
                absl::StrCat("'", address, "' is not an address"),
                "write the list as IP:PORT,IP:PORT,...");
    }
  }
  return addresses;
}

std::string
SettingsReader::Choice(const std::string& aName,
                       const std::string& aDefault,
                       const std::vector<std::string>& aWords)
{
  std::string value = Optional(aName, aDefault);
  for (const std::string& word : aWords) {
    if (value == word) {
      return value;
    }
  }
  NoteError(absl::StrCat("--", aName),
            absl::StrCat("'", value, "' is not an allowed value"),
            absl::StrCat("give one of ", absl::StrJoin(aWords, ", ")));
  return aDefault;
}

std::string
SettingsReader::Name(const std::string& aName)
{
  constexpr size_t kLongest = 128;
  std::string value = Required(aName);
  const bool valid =
    value.size() <= kLongest &&
    value.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUV"
                            "WXYZ0123456789._-") == std::string::npos;
  if (!valid) {
    NoteError(absl::StrCat("--", aName),
              absl::StrCat("'", value, "' is not a valid name"),
              "use 1 to 128 letters, digits, dots, dashes or underscores");
  }
  return value;
}

std::string
SettingsReader::FileContents(const std::string& aName)
{
  const std::string path = Required(aName);
  if (path.empty()) {
    return {};
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream contents;
  contents << file.rdbuf();
  std::string text = contents.str();
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  if (!file || text.empty()) {
    NoteError(absl::StrCat("--", aName),
              absl::StrCat("cannot read '", path, "', or it is empty"),
              "give the path of a readable file");
  }
  return text;
}

void
SettingsReader::Finish()
{
  if (!mErrors.empty()) {
    for (const std::string& error : mErrors) {
      std::cerr << "settings: " << error << '\n';
    }
    EndUnlogged(ProcessEnd::eBadSettings);
  }
  if (mCheckOnly) {
    std::cout << "settings ok\n";
    EndUnlogged(ProcessEnd::eStopped);
  }
}

} // namespace caraway
