#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Measures the data path: the time that a host adds to the first event compared with direct requests in the same run, and the cost per event.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/Utilities/build.sh" "$top/build"
exec python3 "$top/Utilities/bench.py" "$@"
