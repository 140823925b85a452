#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Installs packages, builds, and runs all tests with AddressSanitizer and UndefinedBehaviorSanitizer, and each fuzz target for a
# fixed number of runs.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
directory=${1:-$top/build-test}
"$top/Utilities/build.sh" "$directory" -DYOKEPOND_SANITIZE=ON
"$top/Utilities/build.sh" "$directory-fuzz" -DYOKEPOND_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++-16 -DCMAKE_C_COMPILER=clang-16
cd "$directory"
ctest --output-on-failure --timeout 600 -j 4
cd "$directory-fuzz"
ctest --output-on-failure --timeout 300 -j 4 -R '^fuzz-'
