#!/usr/bin/env bash
# Builds each planted fault in turn and checks that its fuzzer finds it.
#
#   fuzz/planted.sh BUILD [FAULT ...]
#
# BUILD is a complete Ninja build folder. Only the files that contain the fault are
# recompiled, into build-planted/FAULT, and the fuzz program is linked with them in
# place of the originals. The run fails if a fault is not found with its seed and
# steps, or if the program without the fault fails with the same seed and steps.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
if [ $# -lt 1 ]; then
  echo "usage: fuzz/planted.sh BUILD [FAULT ...]" >&2
  exit 2
fi
build=$(cd "$1" && pwd)
shift
# FAULT PROGRAM SEED STEPS. The first fault shows only in a rare order of events.
table="
skip_prevote_stickiness consensus 2 300000
vote_twice consensus 1 20000
ack_before_sync consensus 1 20000
lease_past_expiry consensus 1 20000
stale_token_accepted ledger 1 20000
result_twice ledger 1 20000
cancel_leases ledger 1 20000
grant_renewed_past_expiry admission 1 20000
doubled_report admission 1 20000
"

# The last command that Ninja would run for a file of the build.
command_of() {
  ninja -C "$build" -t commands "$1" | tail -n 1
}

plant() { # FAULT PROGRAM
  folder=$root/build-planted/$1
  mkdir -p "$folder"
  objects=""
  for source in $(cd "$root" && grep -rlw "CARAWAY_PLANTED_FAULT_$1" caraway); do
    object=$folder/$(basename "$source").o
    compile=$(command_of "CMakeFiles/caraway_core.dir/$source.o" |
      sed -e "s# -o [^ ]*# -o $object#" -e "s# -MF [^ ]*# -MF $object.d#" \
        -e "s# -c # -DCARAWAY_PLANTED_FAULT_$1 -c #")
    (cd "$build" && eval "$compile") || return 1
    objects="$objects $object"
  done
  [ -n "$objects" ] || return 1
  link=$(command_of "fuzz/$2_fuzz" |
    sed -e "s# -o fuzz/$2_fuzz# $objects -o $folder/$2_fuzz#")
  (cd "$build" && eval "$link")
}

failed=0
while read -r fault program seed steps; do
  [ -n "$fault" ] || continue
  if [ $# -gt 0 ] && [[ " $* " != *" $fault "* ]]; then
    continue
  fi
  log=$root/build-planted/$fault.log
  mkdir -p "$root/build-planted"
  if ! plant "$fault" "$program" >"$log" 2>&1; then
    echo "$fault: NOT BUILT, see $log"
    failed=1
    continue
  fi
  if ! "$build/fuzz/${program}_fuzz" "$seed" "$steps" >"$log" 2>&1; then
    echo "${program}_fuzz: FAILED without a fault, seed $seed, steps $steps"
    failed=1
    continue
  fi
  "$root/build-planted/$fault/${program}_fuzz" "$seed" "$steps" >"$log" 2>&1
  if [ $? -eq 1 ]; then
    echo "$fault: found by ${program}_fuzz, seed $seed, steps $steps:" \
      "$(grep -m 1 -E 'found after|Falsifiable' "$log")"
  else
    echo "$fault: NOT FOUND by ${program}_fuzz, seed $seed, steps $steps"
    failed=1
  fi
done <<<"$table"
exit $failed
