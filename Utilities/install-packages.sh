#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Installs the packages listed in packages.txt that are missing. Needs root only if a package is missing.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t wanted < <(grep -v '^#' "$here/packages.txt")
missing=()
for package in "${wanted[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
