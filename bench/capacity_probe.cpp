// The capacity probe. `memory` and `messages` print the cost per object and per
// message; `steps NAME COUNT` runs a scenario under callgrind to count its
// instructions. bench/capacity.sh runs all of them.

#include <cstdio>
#include <cstdlib>

#include "bench/capacity_probe.h"

namespace caraway::probe {

Contract
SampleContract(size_t aNumber)
{
  Contract contract;
  contract.mWorkspace = WorkspaceId("workspace-" + std::to_string(aNumber));
  contract.mRate = 10;
  contract.mBurst = 1000;
  contract.mModels = { ModelId("tekst-model"), ModelId("wordmill") };
  contract.mRoutes = { RouteId("stock") };
  return contract;
}

ApiKey
SampleKey(size_t aNumber)
{
  ApiKey key;
  char id[24];
  std::snprintf(id, sizeof(id), "ck_%016zx", aNumber);
  key.mId = KeyId(id);
  key.mWorkspace = WorkspaceId("workspace-" + std::to_string(aNumber));
  return key;
}

Member
SampleMember(size_t aNumber)
{
  Member member;
  member.mInstance = InstanceId("node-" + std::to_string(aNumber));
  member.mIncarnation = 0x9e3779b97f4a7c15 + aNumber;
  member.mEpoch = Epoch(100 + aNumber);
  member.mRole = MemberRole::eNode;
  member.mAddress = PeerAddress("10.20.30." + std::to_string(aNumber) + ":7");
  member.mZone = ZoneId("vest-a");
  member.mRegion = RegionId("dk-vest");
  member.mTarget.mId = TargetId("tekst-" + std::to_string(aNumber));
  member.mTarget.mModels = { ModelId("tekst-model") };
  return member;
}

void
Print(const std::string& aName, double aValue, const std::string& aUnit)
{
  std::printf("%s %.1f %s\n", aName.c_str(), aValue, aUnit.c_str());
}

} // namespace caraway::probe

int
main(int aCount, char** aArguments)
{
  using namespace caraway::probe;
  const std::string mode = aCount > 1 ? aArguments[1] : "";
  if (mode == "memory") {
    MeasureMemory();
    return 0;
  }
  if (mode == "messages") {
    MeasureMessages();
    return 0;
  }
  if (mode == "steps" && aCount == 4 &&
      RunSteps(aArguments[2], std::strtoul(aArguments[3], nullptr, 10))) {
    return 0;
  }
  std::fprintf(stderr,
               "usage: capacity_probe memory | messages | steps NAME COUNT\n");
  return 2;
}
