#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Runs the linter over all sources: tidy.sh [BUILD DIRECTORY]
#
# Clang 16 cannot compile the distribution's Cap'n Proto headers as C++20 (it follows P2468 for ==), and Clang 14 cannot compile
# the standard library's views. No file needs both, so each file is linted by the version that can compile it.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
directory=${1:-$top/build}
with_capnp='^(Source/(Node/daemon|Node/daemonprogram|Peer/codec|Peer/edge|Peer/packedstream)|Tests/Peer/codectest|Tests/Peer/edgetest)\.cpp$'

lint() {
  local output
  if ! output=$("$1" --quiet -p "$2" "$3" 2>&1); then
    echo "$3: $1 failed"
    grep -E '(error|warning|Stack dump):?' <<<"$output" | head -20
    return 1
  fi
}
export -f lint

failed=0
Utilities/sources.sh | grep '\.cpp$' | grep -v Fuzz | grep -Ev "$with_capnp" |
  xargs -r -P "$(nproc)" -I{} bash -c 'lint clang-tidy-16 "$0" "$1"' "$directory" {} || failed=1
Utilities/sources.sh | grep -E "$with_capnp" | xargs -r -P "$(nproc)" -I{} bash -c 'lint clang-tidy-14 "$0" "$1"' "$directory" {} || failed=1
exit $failed
