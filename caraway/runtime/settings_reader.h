#pragma once
// Settings from command-line flags (docopt) and environment variables. A flag
// overrides the variable. All settings are validated at start, and each error
// message names the setting and the remedy.
//
// The usage text declares the options: each "--name=VALUE" can also be set as
// PREFIX_NAME in the environment. A variable with the prefix that matches no
// option is an error.

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
  // --help and --version print their text and exit with status 0; invalid flags
  // print the usage and exit with 2. aPrefix: "CARAWAY_ENTRY", for example.
  SettingsReader(const std::string& aUsage,
                 const std::string& aPrefix,
                 int aArgumentCount,
                 char** aArguments);

  // Records an error if the setting is absent or empty.
  std::string Required(const std::string& aName);
  std::string Optional(const std::string& aName, const std::string& aDefault);
  uint64_t Number(const std::string& aName,
                  uint64_t aDefault,
                  uint64_t aLowest,
                  uint64_t aHighest);
  double Fraction(const std::string& aName, double aDefault); // 0 to 10
  // An empty value counts as absent, since a deployment template may leave it
  // blank.
  double Decimal(const std::string& aName,
                 double aDefault,
                 double aLowest,
                 double aHighest);
  Duration Milliseconds(const std::string& aName,
                        Duration aDefault,
                        Duration aLowest,
                        Duration aHighest);
  bool Flag(const std::string& aName);

  // Required, in the form "ip:port".
  std::string Address(const std::string& aName);
  // Required, comma-separated.
  std::vector<std::string> AddressList(const std::string& aName);

  // One of the given words.
  std::string Choice(const std::string& aName,
                     const std::string& aDefault,
                     const std::vector<std::string>& aWords);

  // Required: 1 to 128 characters of [A-Za-z0-9._-].
  std::string Name(const std::string& aName);

  // Contents of the file whose path the setting gives, without trailing line
  // breaks. Records an error if it is unreadable or empty.
  std::string FileContents(const std::string& aName);

  // Records an error for Finish.
  void NoteError(const std::string& aName,
                 const std::string& aWhat,
                 const std::string& aRemedy);

  // If there are recorded errors, prints them all and exits with status 2; with
  // --check, prints "settings ok" and exits with 0.
  void Finish();

private:
  bool Find(const std::string& aName, std::string& aValue) const;

  std::string mPrefix;
  std::map<std::string, std::string> mValues; // by flag name without dashes
  std::vector<std::string> mErrors;
  bool mCheckOnly = false;
};

} // namespace caraway
