#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Up to five rounds, each with a new fleet: it depends on which of the two other
# voters is elected.
cd "$(dirname "$0")" || exit 2
[ -x ./case ] || exit 2
for round in 1 2 3 4 5; do
  ./case ../.. $round
  result=$?
  [ $result = 0 ] || exit $result
done
exit 0
