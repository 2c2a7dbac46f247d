#pragma once
// A registered process (entry or node) and, for a node, the target beside it.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

enum class MemberRole : uint8_t
{
  eEntry,
  eNode,
};

enum class TargetKind : uint8_t
{
  eEngine,  // model engine
  eService, // plain service
};

// What a target reported about itself when it announced itself to its node.
struct TargetInfo
{
  TargetId mId; // empty for entries and before an announcement
  TargetKind mKind = TargetKind::eEngine;
  std::vector<ModelId> mModels;     // loaded models (engine)
  std::vector<ServiceId> mServices; // offered services (service)
  bool mCanResume = false;     // engine resumes a stream from its partial text
  bool mChecksFencing = false; // engine refuses old fencing tokens

  bool operator==(const TargetInfo&) const = default;
};

struct Member
{
  InstanceId mInstance;      // from the settings; unique
  Epoch mEpoch;              // log index of this registration
  uint64_t mIncarnation = 0; // random number of the process start
  MemberRole mRole = MemberRole::eEntry;
  PeerAddress mAddress;
  ZoneId mZone;
  RegionId mRegion;
  TargetInfo mTarget;     // nodes only
  bool mDraining = false; // leaving: no new work
};

} // namespace caraway
