// Special members of the variants of events and actions.

#include "caraway/entry/entry_io.h"

namespace caraway {

EntryEvent::EntryEvent() = default;
EntryEvent::EntryEvent(const EntryEvent& aOther) = default;
EntryEvent::EntryEvent(EntryEvent&& aOther) noexcept = default;
EntryEvent&
EntryEvent::operator=(const EntryEvent& aOther) = default;
EntryEvent&
EntryEvent::operator=(EntryEvent&& aOther) noexcept = default;
EntryEvent::~EntryEvent() = default;

EntryAction::EntryAction() = default;
EntryAction::EntryAction(const EntryAction& aOther) = default;
EntryAction::EntryAction(EntryAction&& aOther) noexcept = default;
EntryAction&
EntryAction::operator=(const EntryAction& aOther) = default;
EntryAction&
EntryAction::operator=(EntryAction&& aOther) noexcept = default;
EntryAction::~EntryAction() = default;

} // namespace caraway
