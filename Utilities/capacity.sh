#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Measures how the cost of a host grows with fleet size, load, endpoints, organisations, open streams and changes; see docs/CAPACITY.md.
#   capacity.sh [--out DIRECTORY] [--only hosts,requests,endpoints,organisations,streams,changes]
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/Utilities/build.sh" "$top/build"
exec python3 "$top/Utilities/capacity.py" "$@"
