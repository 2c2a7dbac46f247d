#pragma once
// Settings from flags (docopt) and environment variables. A flag goes before
// the variable; both are checked at start, and each message names the setting
// and the remedy.
//
// The usage text is the only declaration: every "--name=VALUE" option in it can
// also be given as PREFIX_NAME in the environment. A variable with the prefix
// that names no option is an error.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

class SettingsReader
{
public:
  // Handles --help and --version by printing and exiting with 0; wrong flags
  // print the usage and exit with 2. aPrefix is "CARAWAY_ENTRY" and so on.
  SettingsReader(const std::string& aUsage,
                 const std::string& aPrefix,
                 int aArgumentCount,
                 char** aArguments);

  // Absent and no default: an error is noted.
  std::string Required(const std::string& aName);
  std::string Optional(const std::string& aName, const std::string& aDefault);
  uint64_t Number(const std::string& aName,
                  uint64_t aDefault,
                  uint64_t aLowest,
                  uint64_t aHighest);
  double Fraction(const std::string& aName, double aDefault); // 0 to 10
  // Empty text counts as absent: a template may have no value for it.
  double Decimal(const std::string& aName,
                 double aDefault,
                 double aLowest,
                 double aHighest);
  Duration Milliseconds(const std::string& aName,
                        Duration aDefault,
                        Duration aLowest,
                        Duration aHighest);
  bool Flag(const std::string& aName);

  // "ip:port", checked.
  std::string Address(const std::string& aName);
  std::vector<std::string> AddressList(const std::string& aName);

  // One of the given words.
  std::string Choice(const std::string& aName,
                     const std::string& aDefault,
                     const std::vector<std::string>& aWords);

  // A name of 1 to 128 characters of [A-Za-z0-9._-].
  std::string Name(const std::string& aName);

  // Contents of the file that the option names, without a trailing newline.
  std::string FileContents(const std::string& aName);

  void NoteError(const std::string& aName,
                 const std::string& aWhat,
                 const std::string& aRemedy);

  // Prints all noted errors and exits with 2 if there are any; with --check,
  // prints "settings ok" and exits with 0.
  void Finish();

private:
  bool Find(const std::string& aName, std::string& aValue) const;

  std::string mPrefix;
  std::map<std::string, std::string> mValues; // by flag name without dashes
  std::vector<std::string> mErrors;
  bool mCheckOnly = false;
};

} // namespace caraway
