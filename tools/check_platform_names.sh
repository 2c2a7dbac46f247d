#!/usr/bin/env bash
# Fails if a name of the users' platform appears outside platform/, the deploy file and
# the adapter's tests.
set -eu
cd "$(dirname "$0")/.."
names='Config\.Replace|Config\.Read|Evacuations\.|Retire\.(Begin|Read)|Instances\.(Heartbeat|Deregister)'
names="$names|heartbeatAddr|Attempt-Id|Server-Signature|Expect-Instance|Token-Usage|Prefix-Hash"
names="$names|Not-Executed|Instance-Load|Deadline-Ms\"|routeTable|apiKeys|/v1/lots|CARAWAYYARD_CONFIG"
found=$(git grep -nE "$names" -- '*.h' '*.cpp' ':!platform' ':!tests/*platform*' ':!fuzz/*platform*' |
  grep -v 'X-Deadline-Ms' || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/; translate them there:"
  echo "$found"
  exit 1
fi
