#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/caraway-platform target/review-2/case-9; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/case-9 "$PWD/review/9/record.txt"
