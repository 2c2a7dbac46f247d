#pragma once
// Model placement: the leader orders nodes to load and unload models.

#include <string>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

enum class OrderKind : uint8_t
{
  eLoadModel,
  eUnloadModel,
};

struct LoadOrder
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  FencingToken mToken; // a node refuses orders with an older token
  uint64_t mSequence = 0;
  OrderKind mKind = OrderKind::eLoadModel;
  ModelId mModel;
};

struct LoadOrderReply
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  FencingToken mToken;
  uint64_t mSequence = 0;
  bool mAccepted = false;
  std::string mMessage;
};

} // namespace caraway
