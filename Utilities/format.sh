#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Formats all sources. With --check, changes nothing, lists the sources that are not formatted and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
Utilities/sources.sh | grep -v 'capnp' | xargs -r clang-format-16 "${mode[@]}"
