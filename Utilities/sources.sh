#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Prints the C++ files that are tracked, or new and not ignored.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.cpp' '*.h' | sort
