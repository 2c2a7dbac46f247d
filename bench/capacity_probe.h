#pragma once
// Internal: samples and sections of the capacity probe.

#include <string>

#include "caraway/config/change.h"

namespace caraway::probe {

// Workspace names of the usual length; two models and one route each.
Contract
SampleContract(size_t aNumber);
ApiKey
SampleKey(size_t aNumber);
Member
SampleMember(size_t aNumber);

// One line `name value unit`.
void
Print(const std::string& aName, double aValue, const std::string& aUnit);

// Bytes of heap per object, by differences of mallinfo2.
void
MeasureMemory();

// Encoded bytes per message. The 4-byte frame header is not included.
void
MeasureMessages();

// Steps a role aCount times after a setup that is not counted. Run it under
// callgrind with --instr-atstart=no and compare two counts. Returns false for
// an unknown name.
bool
RunSteps(const std::string& aName, size_t aCount);

} // namespace caraway::probe
