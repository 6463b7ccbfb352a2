#!/bin/sh
# Tests the gateway as a process against the loss of its state: settings survive SIGKILL, a rejected document changes nothing,
# a damaged snapshot is renamed and not used, SIGTERM ends the process with status 0, and state stored by an earlier version is
# loaded. Usage: service.sh PROGRAM STORED-DATA
set -eu
program=$1
stored=$2
state=$(mktemp -d)
pid=""
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null; rm -rf "$state"' EXIT

start() {
    rm -f "$state/ready"
    "$program" gateway --listen 127.0.0.1:0 --api 127.0.0.1:0 --state "$state" --ready-file "$state/ready" --logs json 2>>"$state/log" &
    pid=$!
    for _ in $(seq 1000); do [ -s "$state/ready" ] && break; kill -0 "$pid"; sleep 0.01; done
    api=$(sed -n 's/.*"api":"\([^"]*\)".*/\1/p' "$state/ready")
}
fail() { echo "$1"; cat "$state/log"; exit 1; }

cat > "$state/good.json" <<'EOF'
{"gateway": {"id": "g1"}, "routes": [{"name": "status", "pathPrefix": "/", "effect": "retriable",
 "latencyObjectiveMs": 800, "routeTimeoutMs": 2500}]}
EOF
sed 's/2500/500/' "$state/good.json" > "$state/bad.json"

start
"$program" settings apply --api "$api" "$state/good.json" > "$state/applied"
# Sent without the check of the command line: the gateway itself rejects it, names the field and keeps its settings.
status=$(curl -s -o "$state/refused" -w '%{http_code}' -X PUT --data-binary @"$state/bad.json" "http://$api/v1/settings")
[ "$status" = 422 ] && grep -q '/routes/0/latencyObjectiveMs' "$state/refused" || fail "invalid settings: expected 422 that names the field, got $status"
status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT --data-binary '{' "http://$api/v1/settings")
[ "$status" = 400 ] || fail "malformed JSON: expected 400, got $status"
"$program" settings get --api "$api" | cmp -s - "$state/applied" || fail "expected a rejected document to leave the settings unchanged"
"$program" settings check "$state/bad.json" 2>"$state/said" && fail "expected 'settings check' to reject an invalid document"
grep -q '/routes/0/latencyObjectiveMs' "$state/said" || fail "expected 'settings check' to name the invalid field"

kill -9 "$pid"; wait "$pid" || true
start
"$program" settings get --api "$api" | cmp -s - "$state/applied" || fail "expected the settings to survive SIGKILL"

kill -9 "$pid"; wait "$pid" || true
printf '{"format": 1, "settings": {' > "$state/settings.json"
start
grep -q '"event":"set-aside"' "$state/log" || fail "expected a set-aside event for a damaged snapshot"
[ -e "$state/settings.json.bad" ] || fail "expected a damaged snapshot to be renamed to settings.json.bad"
[ "$("$program" settings get --api "$api")" = "{}" ] || fail "expected empty settings after a damaged snapshot"

# The state folder can't be written: the settings stay, and the command fails.
rm -f "$state/settings.json.new"; mkdir "$state/settings.json.new"
"$program" settings apply --api "$api" "$state/good.json" 2>/dev/null && fail "expected 'settings apply' to fail when the settings can't be stored"
[ "$("$program" settings get --api "$api")" = "{}" ] || fail "expected settings that can't be stored not to be applied"

kill "$pid"; wait "$pid" || fail "expected exit status 0 after SIGTERM"
pid=""

# State files written by commit a119355 are loaded at the start; none of them is rejected.
for kind in list sources; do
    rm -rf "$state"/*
    cp "$stored/$kind"/*.json "$state"
    start
    "$program" settings get --api "$api" > "$state/got"
    # The file holds the document from its third line on, indented by two columns.
    sed -e '1,2d' -e '$d' -e 's/^  //' -e 's/^"settings": //' "$stored/$kind/settings.json" |
        cmp -s - "$state/got" || fail "expected the stored settings ($kind) to be loaded unchanged"
    grep -q '"event":"set-aside"' "$state/log" && fail "expected the stored state ($kind) not to be set aside"
    grep -q '"event":"recalled"' "$state/log" || fail "expected a recalled event for the stored state ($kind)"
    curl -s "http://$api/v1/members" > "$state/members"
    for port in 9001 9002 9005 9006 9007; do
        grep -q "127.0.0.1:$port" "$state/members" || fail "expected the endpoint on port $port of the stored state ($kind) to be listed"
    done
    kill "$pid"; wait "$pid" || fail "expected exit status 0 after SIGTERM"
    pid=""
done
