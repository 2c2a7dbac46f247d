#!/bin/bash
# Prints the unit costs used in docs/CAPACITY.md as lines `name value unit`.
# callgrind counts instructions, since wall time is noisy. The cost per step is the
# difference between two runs with different counts, divided by that of the counts.
# usage: bench/capacity.sh BUILD
set -euo pipefail
build=${1:?usage: bench/capacity.sh BUILD}
probe=$build/bench/capacity_probe

"$probe" memory
"$probe" messages

instructions() # name count
{
  local log
  log=$(valgrind --tool=callgrind --instr-atstart=no \
    --callgrind-out-file=/dev/null "$probe" steps "$1" "$2" 2>&1) ||
    { echo "$log" >&2; return 1; }
  sed -n 's/.*Collected : \([0-9]*\).*/\1/p' <<<"$log"
}

slope() # name low high
{
  local low high
  low=$(instructions "$1" "$2")
  high=$(instructions "$1" "$3")
  echo "instructions.$1 $(((high - low) / ($3 - $2))) instructions"
}

slope leader_renew 1090 5450
slope leader_grant_1 1170 5070
slope leader_grant_14 1170 2340
slope follower_poll 1090 5450
slope group_idle_second 10 60
slope entry_idle_second 10 60
slope entry_request 200 1000
slope node_idle_second 10 60
slope node_request 200 1000
