#!/usr/bin/env bash
# Runs clang-tidy on one file, unless it has passed before with the same input:
# the same linter, checks, compiler flags and preprocessed text, comments and
# macro definitions included. Only passes are remembered.
#
#   tools/lint_file.sh BUILD_DIR FILE
set -u
build=$1
file=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/caraway-lint
command=$(python3 - "$build" "$file" <<'PYTHON'
import json, os, shlex, sys
build, file = sys.argv[1], os.path.abspath(sys.argv[2])
for entry in json.load(open(os.path.join(build, "compile_commands.json"))):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == file:
        words = entry.get("arguments") or shlex.split(entry["command"])
        kept, skip = [], False
        for word in words:
            if skip or word in ("-c", file) or word.endswith("ccache"):
                skip = False
            elif word == "-o":
                skip = True
            else:
                kept.append(word)
        print(shlex.join(kept[1:]))
        break
PYTHON
)
key=
if [ -n "$command" ]; then
  text=$(mktemp)
  trap 'rm -f "$text"' EXIT
  if eval "clang++ $command -Wno-everything -E -P -C -dD \"\$file\"" >"$text" 2>/dev/null; then
    key=$({ clang-tidy --version; cat .clang-tidy; echo "$file"
      echo "${command//$PWD/.}"; cat "$text"; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && exit 0
  fi
fi
clang-tidy --quiet -p "$build" --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null || exit 1
[ -z "$key" ] || { mkdir -p "$cache" && : >"$cache/$key"; }
