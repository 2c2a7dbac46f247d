// The operators' overview of the whole system as JSON.

#include "caraway/control/status_page.h"

#include <nlohmann/json.hpp>

#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr size_t kJobsShown = 100;

Json
ReplicasJson(const std::vector<ReplicaContact>& aContacts)
{
  Json list = Json::array();
  for (const ReplicaContact& one : aContacts) {
    list.push_back({ { "id", one.mId.mValue },
                     { "address", one.mAddress },
                     { "voter", one.mVoter },
                     { "silence_ms", one.mSilence.Millis() },
                     { "lag", one.mLag },
                     { "receives_snapshot", one.mReceivesSnapshot },
                     { "learning_ms", one.mLearning.Millis() } });
  }
  return list;
}

Json
GroupJson(const GroupStrength& aStrength)
{
  return { { "voters", aStrength.mVoters },
           { "voters_heard", aStrength.mVotersHeard },
           { "learners", aStrength.mLearners },
           { "losses_borne", LossesBorne(aStrength) } };
}

Json
MemberJson(const ControlStep& aStep, const Member& aMember)
{
  Json json;
  json["instance"] = aMember.mInstance.mValue;
  json["epoch"] = aMember.mEpoch.mValue;
  json["role"] = aMember.mRole == MemberRole::eEntry ? "entry" : "node";
  json["address"] = aMember.mAddress.mValue;
  json["zone"] = aMember.mZone.mValue;
  json["region"] = aMember.mRegion.mValue;
  json["draining"] = aMember.mDraining;
  if (!aMember.mTarget.mId.Empty()) {
    json["target"] = aMember.mTarget.mId.mValue;
    json["target_in_service"] =
      TargetInService(aStep.mControl.mState.mConfig.mView, aMember.mTarget.mId);
    Json offers = Json::array();
    for (const ModelId& model : aMember.mTarget.mModels) {
      offers.push_back(model.mValue);
    }
    for (const ServiceId& service : aMember.mTarget.mServices) {
      offers.push_back(service.mValue);
    }
    json["offers"] = std::move(offers);
  }
  const auto& sessions = aStep.mControl.mLeadership.mSessions.mSessions;
  auto session = sessions.find(aMember.mInstance);
  if (session != sessions.end()) {
    json["running"] = session->second.mRunning;
    json["limit"] = session->second.mLimit;
    json["revision_held"] = session->second.mHeld.mValue;
    json["leased"] = session->second.mLeaseEnd > aStep.mNow;
  }
  return json;
}

Json
ZonesJson(const ConfigView& aView)
{
  std::map<ZoneId, uint64_t> members;
  for (const auto& [zone, inService] : aView.mZoneInService) {
    members[zone] = 0;
  }
  for (const auto& [instance, member] : aView.mMembers) {
    ++members[member.mZone];
  }
  Json list = Json::array();
  for (const auto& [zone, count] : members) {
    list.push_back({ { "zone", zone.mValue },
                     { "in_service", ZoneInService(aView, zone) },
                     { "members", count } });
  }
  return list;
}

// Adds the counts of running batch jobs and of those at risk of missing their
// deadlines, and lists the first of the latter.
void
AddJobs(const Ledger& aLedger, Json& aJson)
{
  uint64_t running = 0;
  uint64_t atRisk = 0;
  Json list = Json::array();
  for (const auto& [workspace, space] : aLedger.mWorkspaces) {
    running += space.mWork.size();
    for (const auto& [job, work] : space.mWork) {
      if (!work.mAtRisk) {
        continue;
      }
      ++atRisk;
      if (list.size() < kJobsShown) {
        list.push_back(
          { { "workspace", workspace.mValue }, { "job", job.mValue } });
      }
    }
  }
  aJson["jobs_running"] = running;
  aJson["jobs_at_risk_count"] = atRisk;
  aJson["jobs_at_risk"] = std::move(list);
}

} // namespace

std::string
StatusJson(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  const ConfigView& view = control.mState.mConfig.mView;
  Json json;
  json["revision"] = view.mRevision.mValue;
  json["revision_in_force"] =
    ReportInForce(control.mLeadership.mSessions, aStep.mNow, view.mRevision)
      .mValue;
  json["leader"] = { { "id", control.mSettings.mReplica.mValue },
                     { "address", control.mSettings.mAddress.mValue } };
  json["term"] = TermOf(control.mRaft).mValue;
  const std::vector<ReplicaContact> contacts = ContactsOf(control, aStep.mNow);
  json["replicas"] = ReplicasJson(contacts);
  json["group"] = GroupJson(StrengthOf(contacts));
  json["commit_stalled_ms"] = CommitStall(control, aStep.mNow).Millis();
  json["zones"] = ZonesJson(view);
  json["contracts"] = view.mContracts.size();
  json["keys"] = view.mKeys.size();
  AddJobs(control.mState.mLedger, json);
  json["members"] = Json::array();
  for (const auto& [instance, member] : view.mMembers) {
    json["members"].push_back(MemberJson(aStep, member));
  }
  return json.dump();
}

} // namespace caraway
