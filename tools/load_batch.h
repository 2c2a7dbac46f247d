#pragma once
// A batch job that runs alongside the online load: uploads its input, submits
// it and polls its progress.

#include <functional>
#include <string>

#include "caraway/runtime/http_fetch.h"
#include "tools/load_result.h"

namespace caraway {

struct LoadBatchSettings
{
  std::string mEntry; // URL of an entry, http://IP:PORT
  std::string mKey;
  std::string mAuthority;
  std::string mModel;
  uint64_t mItems = 0;
};

class LoadBatch
{
public:
  // Appends to the batch samples of aResult and updates its batch state.
  LoadBatch(Loop& aLoop,
            const LoadBatchSettings& aSettings,
            LoadResult& aResult);

  void Start();
  bool Finished() const { return mFinished; }

private:
  using OnSuccess = std::function<void(const std::string& aBody)>;

  // Calls aOnSuccess with the body of a successful answer. On any other answer
  // the job fails if it has no id yet, otherwise polling continues.
  void SendRequest(FetchRequest aRequest, OnSuccess aOnSuccess);
  void Submit(const std::string& aFile);
  void Poll();
  void OnJob(const std::string& aBody);

  Loop& mLoop;
  LoadBatchSettings mSettings;
  LoadResult& mResult;
  MonoTime mStart;
  Timer mTimer;
  std::string mJob;
  bool mFinished = false;
};

} // namespace caraway
