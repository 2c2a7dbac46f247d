#!/usr/bin/env bash
# Builds the libFuzzer targets with clang into build-fuzz/.
#
#   fuzz/decode/build.sh [JOBS]
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
jobs=${1:-4}
folder=$root/build-fuzz
mkdir -p "$folder"
# Locks the folder, so that two checks never build in it at the same time.
exec 9>"$folder/.lock"
flock 9
# The vptr check needs type information of libraries that were built without it.
flags="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize=vptr"
flags="$flags -fno-sanitize-recover=undefined -O1 -g1"
cmake -S "$root" -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE= \
  -DCARAWAY_DECODE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_CXX_FLAGS="$flags" >"$folder/cmake.log" 2>&1 ||
  { cat "$folder/cmake.log"; exit 1; }
cmake --build "$folder" -j "$jobs" --target decode_fuzzers make_corpus \
  >"$folder/make.log" 2>&1 || { cat "$folder/make.log"; exit 1; }
