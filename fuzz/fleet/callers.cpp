// Starts the fleet and sends requests of callers and operators.

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "fuzz/fleet/fleet_internal.h"

namespace caraway::fleet {

namespace {

constexpr const char* kOperatorToken = "operator-token-for-fuzzing";
// SHA-256 of the token above.
constexpr const char* kOperatorDigest =
  "56a3a3efec6edadf09e2b3a63c98d893e6ffef8d9a32ddccdaf40781267ceeaf";

LocalClock
DrawClock(Fleet& aFleet)
{
  // Each clock drifts by at most half of the bound in either direction, so that
  // two clocks drift apart by at most the bound.
  constexpr int64_t kHalfDrift = 1000000 / kDriftDivisor / 2;
  LocalClock clock;
  clock.mOffsetMicros =
    static_cast<int64_t>(DrawBelow(aFleet.mRandom, 1000000000));
  clock.mDriftPerMillion =
    static_cast<int64_t>(DrawBelow(aFleet.mRandom, 2 * kHalfDrift - 2)) -
    kHalfDrift + 1;
  return clock;
}

void
AddControls(Fleet& aFleet)
{
  ReplicaSet replicas;
  for (int i = 1; i <= aFleet.mSettings.mControls; ++i) {
    Replica replica;
    replica.mId = ReplicaId(static_cast<uint64_t>(i));
    replica.mAddress = absl::StrCat("10.0.0.", i, ":7000");
    replicas.mReplicas.push_back(replica);
  }
  for (const Replica& replica : replicas.mReplicas) {
    ControlProcess& process = aFleet.mControls[PeerAddress(replica.mAddress)];
    process.mSettings.mReplica = replica.mId;
    process.mSettings.mAddress = PeerAddress(replica.mAddress);
    process.mSettings.mInitialReplicas = replicas;
    process.mSettings.mOperatorTokenDigest = kOperatorDigest;
    process.mSettings.mRaft.mSnapshotEvery = aFleet.mSettings.mSnapshotEvery;
    process.mSettings.mRaft.mTailEntries = aFleet.mSettings.mSnapshotEvery / 4;
    process.mClock = DrawClock(aFleet);
    process.mDisk.mMarks = &aFleet.mMarks;
    process.mDisk.mDurable.mDisk = aFleet.mRandom.mEngine() | 1;
    BootControl(aFleet, process);
  }
}

template<class Settings>
void
Place(Fleet& aFleet,
      Settings& aSettings,
      const PeerAddress& aAddress,
      int aZone)
{
  aSettings.mAddress = aAddress;
  aSettings.mZone = ZoneId(
    absl::StrCat("zone-", std::string(1, static_cast<char>('a' + aZone % 3))));
  aSettings.mRegion = RegionId("region-1");
  for (const auto& [address, control] : aFleet.mControls) {
    aSettings.mControl.push_back(address);
  }
}

void
AddEntriesAndNodes(Fleet& aFleet)
{
  for (int i = 0; i < aFleet.mSettings.mEntries; ++i) {
    const PeerAddress address(absl::StrCat("10.0.1.", i + 1, ":7100"));
    EntryProcess& process = aFleet.mEntries[address];
    process.mSettings.mInstance = InstanceId(absl::StrCat("entry-", i + 1));
    Place(aFleet, process.mSettings, address, i);
    process.mSettings.mDefaultDeadline = Seconds(10);
    process.mClock = DrawClock(aFleet);
    BootEntry(aFleet, process);
  }
  const int nodes = aFleet.mSettings.mEngines + aFleet.mSettings.mServices;
  for (int i = 0; i < nodes; ++i) {
    const PeerAddress address(absl::StrCat("10.0.2.", i + 1, ":7200"));
    NodeProcess& process = aFleet.mNodes[address];
    process.mSettings.mInstance = InstanceId(absl::StrCat("node-", i + 1));
    Place(aFleet, process.mSettings, address, i);
    process.mSettings.mMaxLimit = 16;
    process.mClock = DrawClock(aFleet);
    process.mTarget.mEngine = i < aFleet.mSettings.mEngines;
    process.mTarget.mName = absl::StrCat("target-", i + 1);
    process.mTarget.mStartId = "first";
    BootNode(aFleet, process);
  }
}

CallerRequest&
OpenCall(Fleet& aFleet, size_t aEntry, HttpRequest& aRequest, uint64_t& aNumber)
{
  const PeerAddress address = EntryAddress(aFleet, aEntry);
  EntryProcess& process = aFleet.mEntries.at(address);
  aNumber = aFleet.mNextNumber++;
  aRequest.mCall = HttpCallId(aNumber);
  CallerRequest& request = aFleet.mOracle.mRequests[aNumber];
  request.mEntry = process.mSettings.mInstance;
  request.mSent = aFleet.mNow;
  request.mKeyId = aFleet.mKeyId;
  request.mDraining = process.mStopping;
  if (process.mRole) {
    process.mCalls[aRequest.mCall] = aNumber;
  } else {
    request.mDone = request.mLost = true; // connection refused
  }
  return request;
}

} // namespace

void
RecordAnswerStart(Fleet& aFleet,
                  EntryProcess& aProcess,
                  HttpCallId aCall,
                  int aStatus)
{
  const auto call = aProcess.mCalls.find(aCall);
  if (call != aProcess.mCalls.end()) {
    aFleet.mOracle.mRequests.at(call->second).mStatus = aStatus;
  }
}

void
RecordAnswerBytes(Fleet& aFleet,
                  EntryProcess& aProcess,
                  HttpCallId aCall,
                  const std::string& aBytes)
{
  const auto call = aProcess.mCalls.find(aCall);
  if (call != aProcess.mCalls.end()) {
    aFleet.mOracle.mRequests.at(call->second).mBody += aBytes;
  }
}

void
RecordAnswerEnd(Fleet& aFleet,
                EntryProcess& aProcess,
                HttpCallId aCall,
                bool aWhole)
{
  const auto call = aProcess.mCalls.find(aCall);
  if (call == aProcess.mCalls.end()) {
    ReportViolation(aFleet.mOracle, "I8: a call was answered twice");
    return;
  }
  CallerRequest& request = aFleet.mOracle.mRequests.at(call->second);
  request.mDone = true;
  request.mWhole = aWhole;
  request.mAnswered = aFleet.mNow;
  aProcess.mCalls.erase(call);
  CheckAnswer(aFleet.mOracle, request);
}

uint64_t
SendRequest(Fleet& aFleet,
            size_t aEntry,
            RequestKind aKind,
            const std::string& aIdempotencyKey,
            const std::string& aMarker)
{
  uint64_t number = 0;
  HttpRequest http;
  CallerRequest& request = OpenCall(aFleet, aEntry, http, number);
  request.mKind = aKind;
  request.mMarker = aMarker.empty() ? absl::StrCat("m-", number) : aMarker;
  request.mIdempotencyKey = aIdempotencyKey;
  aFleet.mOracle.mByMarker.emplace(request.mMarker, number);
  if (request.mLost) {
    return number;
  }
  http.mMethod = "POST";
  http.mHeaders = { { "Authorization", "Bearer " + aFleet.mKeyText },
                    { "Content-Type", "application/json" } };
  const bool service =
    aKind == RequestKind::eService || aKind == RequestKind::eServiceKey;
  http.mPath = service ? "/stock/book" : "/v1/completions";
  if (!aIdempotencyKey.empty()) {
    http.mHeaders.emplace_back("Idempotency-Key", aIdempotencyKey);
  }
  http.mBody =
    service
      ? absl::StrCat(R"({"order":")", request.mMarker, R"("})")
      : absl::StrCat(R"({"model":"model-a","max_tokens":16,"prompt":")",
                     request.mMarker,
                     "\"",
                     aKind == RequestKind::eStream ? R"(,"stream":true)" : "",
                     "}");
  StepAt(aFleet, EntryAddress(aFleet, aEntry), EntryEvent(http));
  return number;
}

CallerRequest
Exchange(Fleet& aFleet,
         size_t aEntry,
         const std::string& aMethod,
         const std::string& aPath,
         const Headers& aHeaders,
         const std::string& aBody)
{
  uint64_t number = 0;
  HttpRequest http;
  CallerRequest& request = OpenCall(aFleet, aEntry, http, number);
  request.mKind = RequestKind::eControl;
  if (request.mLost) {
    return request;
  }
  const size_t question = aPath.find('?');
  http.mMethod = aMethod;
  http.mPath = aPath.substr(0, question);
  http.mQuery = question == std::string::npos ? "" : aPath.substr(question + 1);
  http.mHeaders = aHeaders;
  http.mHeaders.emplace_back("Authorization", "Bearer " + aFleet.mKeyText);
  http.mBody = aBody;
  StepAt(aFleet, EntryAddress(aFleet, aEntry), EntryEvent(http));
  for (int wait = 0; wait < 1500 && !request.mDone; ++wait) {
    RunFor(aFleet, Millis(20));
  }
  return request;
}

OperatorAnswer
Operate(Fleet& aFleet,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody)
{
  constexpr Duration kOperateTimeout = Seconds(20);
  const std::string operation = absl::StrCat("op-", aFleet.mNextNumber++);
  const MonoTime giveUp = aFleet.mNow + kOperateTimeout;
  for (size_t index = DrawBelow(aFleet.mRandom, 3); aFleet.mNow < giveUp;
       ++index) {
    const PeerAddress address = ControlAddress(aFleet, index);
    if (!aFleet.mControls.at(address).mRole) {
      RunFor(aFleet, Millis(10));
      continue;
    }
    HttpRequest http;
    http.mCall = HttpCallId(aFleet.mNextNumber++);
    http.mMethod = aMethod;
    http.mPath = aPath.substr(0, aPath.find('?'));
    http.mQuery = aPath.find('?') == std::string::npos
                    ? ""
                    : aPath.substr(aPath.find('?') + 1);
    http.mHeaders = { { "Authorization",
                        absl::StrCat("Bearer ", kOperatorToken) },
                      { "X-Operation-Id", operation } };
    http.mBody = aBody;
    aFleet.mOperatorAnswer.reset();
    StepAt(aFleet, address, ControlEvent(http));
    for (int wait = 0; wait < 150; ++wait) {
      if (aFleet.mOperatorAnswer &&
          aFleet.mOperatorAnswer->mCall == http.mCall) {
        break;
      }
      RunFor(aFleet, Millis(10));
    }
    if (aFleet.mOperatorAnswer && aFleet.mOperatorAnswer->mCall == http.mCall &&
        aFleet.mOperatorAnswer->mStatus != 421 &&
        aFleet.mOperatorAnswer->mStatus != 503) {
      return *aFleet.mOperatorAnswer;
    }
    RunFor(aFleet, Millis(50));
  }
  return {};
}

std::unique_ptr<Fleet>
StartFleet(const FleetSettings& aSettings)
{
  auto fleet = std::make_unique<Fleet>();
  fleet->mSettings = aSettings;
  fleet->mRandom = Random(aSettings.mSeed);
  fleet->mOracle.mRate = aSettings.mRate;
  fleet->mOracle.mBurst = aSettings.mBurst;
  AddControls(*fleet);
  AddEntriesAndNodes(*fleet);
  RunFor(*fleet, Seconds(3));
  const OperatorAnswer contract =
    Operate(*fleet,
            "PUT",
            "/admin/contracts/acme",
            absl::StrCat(R"({"rate":)",
                         aSettings.mRate,
                         R"(,"burst":)",
                         aSettings.mBurst,
                         R"(,"models":["model-a"],"routes":["stock"]})"));
  const OperatorAnswer route =
    Operate(*fleet,
            "PUT",
            "/admin/routes/stock",
            R"({"method":"POST","path_prefix":"/stock/","service":"stock"})");
  const OperatorAnswer key =
    Operate(*fleet, "POST", "/admin/keys", R"({"workspace":"acme"})");
  const auto body = nlohmann::json::parse(key.mBody, nullptr, false);
  if (contract.mStatus != 200 || route.mStatus != 200 || !body.is_object() ||
      !body.contains("key")) {
    ReportViolation(fleet->mOracle,
                    absl::StrCat("start: ",
                                 contract.mStatus,
                                 " ",
                                 contract.mBody,
                                 " ",
                                 route.mBody,
                                 " ",
                                 key.mBody));
    return fleet;
  }
  fleet->mKeyText = body["key"].get<std::string>();
  fleet->mKeyId = body["id"].get<std::string>();
  fleet->mSecrets[fleet->mKeyId] = fleet->mKeyText;
  RunFor(*fleet, Seconds(2));
  return fleet;
}

} // namespace caraway::fleet
