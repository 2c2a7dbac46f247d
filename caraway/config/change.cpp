// Special members of the variant of configuration changes.

#include "caraway/config/change.h"

namespace caraway {

ConfigChange::ConfigChange() = default;
ConfigChange::ConfigChange(const ConfigChange& aOther) = default;
ConfigChange::ConfigChange(ConfigChange&& aOther) noexcept = default;
ConfigChange&
ConfigChange::operator=(const ConfigChange& aOther) = default;
ConfigChange&
ConfigChange::operator=(ConfigChange&& aOther) noexcept = default;
ConfigChange::~ConfigChange() = default;

} // namespace caraway
