#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
# Runs case.py in the folder $1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$1" || exit 2
[ -x ../../target/bin/yokepondd ] || { echo "target/bin/yokepondd is missing: run the build of the deploy file"; exit 2; }
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
timeout --kill-after=4 114 python3 case.py
code=$?
# Processes that the script could not end itself.
while read -r pid; do
  [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = yokepondd ] && kill -KILL "$pid"
done < "$REVIEW_PIDS"
rm -f "$REVIEW_PIDS"
[ "$code" -le 1 ] && exit "$code"
exit 2
