#!/usr/bin/env bash
# Runs the stateful and the decoder fuzzers.
#
#   fuzz/run.sh BUILD SEED STEPS TARGET
#
# BUILD is the build folder. TARGET is consensus, ledger, admission, control
# (these three), serving or fleet (whole roles), decode (libFuzzer targets) or
# all. Exits 0 only if every run passed. The result depends on SEED and STEPS
# alone: no run is limited by time.
set -u
if [ $# -ne 4 ]; then
  echo "usage: fuzz/run.sh BUILD SEED STEPS TARGET" >&2
  exit 2
fi
here=$(cd "$(dirname "$0")" && pwd)
build=$1
seed=$2
steps=$3
target=$4
for number in "$seed" "$steps"; do
  case $number in
    '' | *[!0-9]*)
      echo "fuzz/run.sh: SEED and STEPS are whole numbers, not '$number'" >&2
      exit 2
      ;;
  esac
done
case $target in
  control) parts="consensus ledger admission" ;;
  all) parts="consensus ledger admission serving fleet decode" ;;
  consensus | ledger | admission | serving | fleet | decode) parts=$target ;;
  *)
    echo "fuzz/run.sh: unknown TARGET '$target'; use consensus, ledger," \
      "admission, control, serving, fleet, decode or all" >&2
    exit 2
    ;;
esac

run_part() {
  case $1 in
    serving) "$build/fuzz/fleet_fuzz" "$seed" "$steps" serving ;;
    fleet) "$build/fuzz/fleet_fuzz" "$seed" "$steps" ;;
    decode) bash "$here/decode/build.sh" && bash "$here/decode/run.sh" "$seed" "$steps" ;;
    *) "$build/fuzz/$1_fuzz" "$seed" "$steps" ;;
  esac
}

failed=""
for part in $parts; do
  echo "== $part: seed $seed, steps $steps"
  run_part "$part" || failed="$failed $part"
done
if [ -n "$failed" ]; then
  echo "fuzz FAILED:$failed (seed $seed, steps $steps)"
  exit 1
fi
echo "fuzz ok: $parts (seed $seed, steps $steps)"
