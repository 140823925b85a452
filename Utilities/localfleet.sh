#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Starts and stops a fleet on this machine. See docs/LOCALFLEET.md.
#   localfleet.sh up --dir D [--hosts 3] [--engines 4] [--services 1] [--site cheia|bancolab] [--bin DIR]
#   localfleet.sh down --dir D
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
exec python3 "$top/Utilities/localfleet.py" "$@"
