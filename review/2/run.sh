#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ./case ] || exit 2
./case ../.. long-prompts
first=$?
./case ../.. long-texts
second=$?
[ $first = 1 ] || [ $second = 1 ] && exit 1
[ $first = 0 ] && [ $second = 0 ] && exit 0
exit 2
