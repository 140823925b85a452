#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Installs missing packages, configures and builds: build.sh [DIRECTORY [CMAKE OPTION...]]
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
directory=${1:-$top/build}
shift || true
"$top/Utilities/install-packages.sh"
cmake -S "$top" -B "$directory" -G Ninja "$@" >/dev/null
cmake --build "$directory"
