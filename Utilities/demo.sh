#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-3-Clause
# Installs packages, builds, starts a local fleet, streams one response through it, queries the trace of the request and stops the fleet.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/Utilities/build.sh" "$top/build"
directory=$(mktemp -d)
finish() {
  "$top/Utilities/localfleet.sh" down --dir "$directory"
  rm -rf "$directory"
}
trap finish EXIT
"$top/Utilities/localfleet.sh" up --dir "$directory" --hosts 3 --engines 2 --services 1
fleet="$directory/fleet.json"
caller=$(jq -r '.hosts[0].caller' "$fleet")
key=$(jq -r '.callerKeys["protecao-civil"]' "$fleet")
YOKEPOND_HOST=$(jq -r '.hosts[1].operator' "$fleet")
YOKEPOND_KEY=$(jq -r '.operatorKey' "$fleet")
export YOKEPOND_HOST YOKEPOND_KEY
tool="$top/build/bin/yokepond"

echo "== a streamed response through $caller"
curl -sSN --fail -D "$directory/head" "http://$caller/v1/chat/completions" -H "Authorization: Bearer $key" -H 'Yokepond-Class: bulletin' \
  -d '{"messages":[{"role":"user","content":"The Tejo rises at Santarem."}],"stream":true,"max_tokens":5}' | tee "$directory/response"
grep -q '^data: \[DONE\]' "$directory/response"
request=$(tr -d '\r' < "$directory/head" | awk 'tolower($1) == "yokepond-request:" {print $2}')

echo "== yokepond query 'show hosts'"
"$tool" query 'show hosts'
echo "== yokepond query 'why request $request'"
"$tool" query "why request $request" | tee "$directory/why"
grep -q completed "$directory/why"

echo "== an operation that must run at most once, sent twice with one ticket"
ticket=$(curl -sS --fail -X POST "http://$caller/v1/tickets" -H "Authorization: Bearer $key" | jq -r .ticket)
for host in 0 2; do
  curl -sS --fail "http://$(jq -r ".hosts[$host].caller" "$fleet")/v1/services/warnings/issue" -H "Authorization: Bearer $key" \
    -H 'Yokepond-Class: issue' -H "Idempotency-Key: $ticket" -d '{"basin":"Tejo"}'
done
runs=$(curl -sS --fail "http://$(jq -r '.endpoints[] | select(.kind == "service") | .address' "$fleet")/runs" | jq length)
echo "runs at the service: $runs"
test "$runs" = 1
echo "demo: done"
