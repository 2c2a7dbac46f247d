#!/bin/sh
# Builds the stand-ins of all script cases; needs g++ and nlohmann-json only.
set -eu
cd "$(dirname "$0")"
for source in */case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "${source%.cc}" "$source"
done
