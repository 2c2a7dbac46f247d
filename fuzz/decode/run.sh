#!/usr/bin/env bash
# Runs every libFuzzer target over its corpus and then STEPS inputs made from it.
#
#   fuzz/decode/run.sh SEED STEPS
#
# A target that was not built, has no corpus or finds a fault fails the run. The
# committed corpus is read only; a failing input is kept in fuzz/artifacts/.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
seed=$1
steps=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir -p "$root/fuzz/artifacts"
# The annotations of containers differ between clang and the libraries, which
# were built without them.
export ASAN_OPTIONS=detect_container_overflow=0
failed=0
for source in "$root"/fuzz/decode/*_decode.cpp; do
  name=$(basename "$source" .cpp)
  corpus=$root/fuzz/corpus/${name%_decode}
  program=$root/build-fuzz/fuzz/decode/$name
  if [ ! -x "$program" ] || [ -z "$(ls "$corpus" 2>/dev/null)" ]; then
    echo "$name FAILED: no program or no corpus; run fuzz/decode/build.sh"
    failed=1
    continue
  fi
  mkdir -p "$scratch/$name"
  if "$program" -seed="$seed" -runs="$steps" -max_len=4096 \
    -malloc_limit_mb=64 -artifact_prefix="$root/fuzz/artifacts/$name-" \
    "$scratch/$name" "$corpus" >"$scratch/$name.log" 2>&1; then
    echo "$name ok: seed $seed, $(grep -o 'Done [0-9]* runs' "$scratch/$name.log")"
  else
    cat "$scratch/$name.log"
    echo "$name FAILED: seed $seed, steps $steps"
    failed=1
  fi
done
exit $failed
