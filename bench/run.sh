#!/usr/bin/env bash
# Runs every benchmark of a build and prints its `name value bound verdict` lines.
# Exits non-zero if any missed a bound, failed or printed no figure.
#
#   bench/run.sh BUILD_FOLDER
set -u
if [ $# -ne 1 ] || [ ! -d "$1/bench" ]; then
  echo "usage: bench/run.sh BUILD_FOLDER (build it first with make build)" >&2
  exit 2
fi
output=$(mktemp)
trap 'rm -f "$output"' EXIT
verdicts='^(ok|MISSED|reported|baseline|info|-)$'
ran=0
failed=()
for program in "$1"/bench/*_bench; do
  [ -x "$program" ] || continue
  name=$(basename "$program")
  ran=$((ran + 1))
  echo "running $name" >&2
  "$program" >"$output"
  code=$?
  # Prints figures to standard output with single spaces, all else to standard error.
  # A verdict other than ok and MISSED means that the figure has no bound.
  figures=$(awk -v verdicts="$verdicts" '
    NF == 5 && $5 ~ verdicts { print $1, $2, $3 $4, $5; next } # "<= 1.1"
    NF == 4 && $4 ~ verdicts { print $1, $2, $3, $4; next }
    { print >"/dev/stderr" }' "$output")
  printf '%s\n' "$figures"
  if [ "$code" -ne 0 ] || [ -z "$figures" ] || grep -q ' MISSED$' <<<"$figures"; then
    failed+=("$name")
  fi
done
if [ "$ran" -eq 0 ]; then
  echo "no benchmarks in $1/bench; build them first with make build" >&2
  exit 2
fi
if [ "${#failed[@]}" -gt 0 ]; then
  echo "missed a bound or failed: ${failed[*]}" >&2
  exit 1
fi
echo "$ran benchmark programs, all bounds met" >&2
