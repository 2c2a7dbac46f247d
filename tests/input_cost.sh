#!/usr/bin/env bash
# Guards against input that takes far longer to read the larger it is. Counts
# the instructions of each reading of input-cost, and fails if twice the input
# takes more than 2.2 times as many: in proportion, and some for a logarithm.
#
#   tests/input_cost.sh BUILD_DIR
set -eu
program=$(cd "$1" && pwd)/tests/input-cost
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
(cd "$folder" && valgrind --tool=callgrind --callgrind-out-file=out "$program" >log 2>&1) ||
  { cat "$folder/log"; exit 1; }
for dump in "$folder"/out.*; do
  sed -n 's/^desc: Trigger: Client Request: //p; s/^totals: //p' "$dump" | paste -sd' '
done | sort -k1,2 -k3,3n | awk '
  NF == 4 && $1 " " $2 == reading {
    checked++
    if ($4 > 2.2 * cost) {
      failed++
      printf "FAIL %s: %d instructions for %d bytes, %d for %d\n", reading, cost, bytes, $4, $3
    }
  }
  NF == 4 { reading = $1 " " $2; bytes = $3; cost = $4 }
  END {
    printf "input cost: %d readings, %d not in proportion\n", checked, failed
    exit checked == 0 || failed > 0
  }'
