#!/usr/bin/env bash
# The ctest case: builds the libFuzzer targets and runs each one over the
# committed corpus. It guards against decoders that crash or read out of bounds
# on bytes from outside.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
bash "$here/build.sh"
exec bash "$here/run.sh" 1 5000
