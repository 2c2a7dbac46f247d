#pragma once
// Sample objects and measurements of the capacity probe.

#include <string>

#include "caraway/config/change.h"

namespace caraway::probe {

// A contract with a workspace name of typical length, two models and one route.
Contract
SampleContract(size_t aNumber);
ApiKey
SampleKey(size_t aNumber);
Member
SampleMember(size_t aNumber);

// Prints one line `name value unit`.
void
Print(const std::string& aName, double aValue, const std::string& aUnit);

// Prints the heap bytes per object, from mallinfo2 before and after creation.
void
MeasureMemory();

// Prints the encoded bytes per message, without the 4-byte frame header.
void
MeasureMessages();

// Runs aCount steps of the scenario aName after a setup that callgrind does not
// count. Run it under callgrind with --instr-atstart=no and take the difference
// between two counts. Returns false for an unknown name.
bool
RunSteps(const std::string& aName, size_t aCount);

} // namespace caraway::probe
