// caraway: the command line for operators and for callers that submit batches.

#include <iostream>

#include "absl/strings/str_split.h"
#include "caraway/runtime/runtime.h"
#include "tools/batch_commands.h"
#include "tools/explain_command.h"
#include "tools/folder_check.h"
#include "tools/operator_commands.h"
#include "tools/where_command.h"

using namespace caraway;

namespace {

constexpr const char* kUsage =
  R"(caraway: operates carawayyard and submits batch files.

Usage:
  caraway [options] contract set <workspace> [--rate=N] [--burst=N] [--weight=N]
          [--latency=CLASS] [--batch-window=S] [--max-batch-items=N]
          [--models=LIST] [--routes=LIST]
  caraway [options] contract (show | withdraw) <workspace>
  caraway [options] contract list
  caraway [options] key (create | list) <workspace>
  caraway [options] key withdraw <key>
  caraway [options] route set <route> --path=PREFIX --service=NAME [--method=METHOD]
          [--idempotent] [--open]
  caraway [options] route remove <route>
  caraway [options] route list
  caraway [options] zone (out | in) <zone>
  caraway [options] rollout begin <service> --to=VERSION --duration=S
  caraway [options] rollout (read | abort) <service>
  caraway [options] input-block list
  caraway [options] input-block lift <block>
  caraway [options] target (out | in) <target>
  caraway [options] replica add <id> <address>
  caraway [options] replica (promote | remove) <id>
  caraway [options] status
  caraway [options] batch submit <file> [--endpoint=PATH] [--window=TIME]
          [--idempotency-key=KEY]
  caraway [options] batch (status | results | cancel) <job>
  caraway [options] batch list
  caraway [options] explain where [--workspace=NAME] [--route=ID] [--model=NAME]
          [--parts=LIST]
  caraway [options] explain <request> <log>...
  caraway [options] data check <folder>
  caraway (-h | --help)
  caraway --version

Every option with a value can also be set as CARAWAY_CLI_NAME in the environment.

Options:
  --control=LIST          Operator URLs of the control replicas, http://IP:PORT,...
  --token-file=FILE       File with the operators' token.
  --entry=URL             URL of an entry or of the balancer, http://IP:PORT.
  --key-file=FILE         File with the caller's key.
  --ca=FILE               PEM authority to trust for https URLs.
  --operation-id=ID       Id of this write; the same id is applied once.
  --expected-revision=N   Refuse the write if the object is not at this revision.
  --wait                  Return only when the write is in force everywhere.
  --json                  Print JSON.
  --rate=N                Requests a second over the whole fleet.
  --burst=N               Requests at once.
  --weight=N              Share against other workspaces, 1 to 1000.
  --latency=CLASS         interactive or relaxed.
  --batch-window=S        Deadline of batch jobs in seconds.
  --max-batch-items=N     Items in one job.
  --models=LIST           Allowed models, comma separated.
  --routes=LIST           Allowed routes, comma separated.
  --path=PREFIX           Path prefix of the route.
  --service=NAME          Service that serves the route.
  --method=METHOD         HTTP method of the route, or *.
  --idempotent            Calls of the route may be sent again.
  --open                  The route needs no key.
  --to=VERSION            Software version that a service is to move to.
  --duration=S            Seconds in which a roll-out is to complete.
  --endpoint=PATH         Endpoint of the items [/v1/chat/completions].
  --window=TIME           Deadline of the job, such as 24h, 90m or 30s [24h].
  --idempotency-key=KEY   The same key gives the same job.
  --workspace=NAME        Workspace whose request it would be; none: without a key.
  --route=ID              Route of the request or job.
  --parts=LIST            Parts of its prompt but the last, comma separated.
  --model=NAME            Its model, of a prompt with parts or without a route.
  -h --help               Show this help.
  --version               Show the version.

Exit codes: 0 done; 1 refused; 2 wrong flags, settings or input; 3 no answer from a
leader or an entry; 4 another operator changed the object first; 5 --wait ran out.
)";

CliResult
Run(Loop& aLoop, SettingsReader& aReader)
{
  if (aReader.Flag("explain") && aReader.Flag("where")) {
    EntryClient client;
    client.mUrl = aReader.Required("entry");
    client.mKey = aReader.Optional("token-file", "").empty()
                    ? ""
                    : aReader.FileContents("token-file");
    client.mAuthority = aReader.Optional("ca", "");
    aReader.Finish();
    return RunWhereCommand(aLoop, client, aReader);
  }
  if (aReader.Flag("explain")) {
    return ExplainRequest(
      aReader.Optional("<request>", ""),
      absl::StrSplit(aReader.Optional("<log>", ""), '\n', absl::SkipEmpty()));
  }
  if (aReader.Flag("data")) {
    return CheckDataFolder(aReader.Optional("<folder>", ""));
  }
  if (aReader.Flag("batch")) {
    EntryClient client;
    client.mUrl = aReader.Required("entry");
    client.mKey = aReader.FileContents("key-file");
    client.mAuthority = aReader.Optional("ca", "");
    aReader.Finish();
    return RunBatchCommand(aLoop, client, aReader);
  }
  ControlClient client;
  client.mUrls =
    absl::StrSplit(aReader.Required("control"), ',', absl::SkipEmpty());
  client.mToken = aReader.FileContents("token-file");
  client.mAuthority = aReader.Optional("ca", "");
  return RunOperatorCommand(aLoop, client, aReader);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SettingsReader reader(kUsage, "CARAWAY_CLI", aCount, aArguments);
  Loop loop;
  const CliResult result = Run(loop, reader);
  const std::string& output = reader.Flag("json") ? result.mJson : result.mText;
  if (!output.empty()) {
    const bool failed = result.mCode != ExitCode::eOk && !reader.Flag("json");
    (failed ? std::cerr : std::cout) << output << '\n';
  }
  return static_cast<int>(result.mCode);
}
