#!/bin/sh
# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
# Builds the stand-ins that the scripts of review/4 to review/8 start: they are written in Python, so they are only compiled.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q common-2 $(ls -d [4-8] 2>/dev/null)
