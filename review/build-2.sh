#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. They need a
# C++20 compiler and nlohmann-json, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/case-$number" "review/$number/case.cc"
done
