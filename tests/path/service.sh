#!/bin/sh
# The gateway as a process: settings kept over SIGKILL, a refused document changes nothing, a damaged snapshot is set aside,
# SIGTERM ends it with 0, the state of an earlier version is taken up. Usage: service.sh PROGRAM STORED-DATA
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
# Past the check of the command line: the gateway itself refuses, names the place and keeps what it has.
status=$(curl -s -o "$state/refused" -w '%{http_code}' -X PUT --data-binary @"$state/bad.json" "http://$api/v1/settings")
[ "$status" = 422 ] && grep -q '/routes/0/latencyObjectiveMs' "$state/refused" || fail "422 with the place was wanted, $status came"
status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT --data-binary '{' "http://$api/v1/settings")
[ "$status" = 400 ] || fail "400 was wanted for no JSON, $status came"
"$program" settings get --api "$api" | cmp -s - "$state/applied" || fail "a refused document changed the settings"
"$program" settings check "$state/bad.json" 2>"$state/said" && fail "check let a bad document pass"
grep -q '/routes/0/latencyObjectiveMs' "$state/said" || fail "check does not name the place"

kill -9 "$pid"; wait "$pid" || true
start
"$program" settings get --api "$api" | cmp -s - "$state/applied" || fail "settings were lost by SIGKILL"

kill -9 "$pid"; wait "$pid" || true
printf '{"format": 1, "settings": {' > "$state/settings.json"
start
grep -q '"event":"set-aside"' "$state/log" || fail "a damaged snapshot was not told"
[ -e "$state/settings.json.bad" ] || fail "a damaged snapshot was not set aside"
[ "$("$program" settings get --api "$api")" = "{}" ] || fail "a damaged snapshot was used"

# A folder that takes no file: nothing changes, and that is said.
rm -f "$state/settings.json.new"; mkdir "$state/settings.json.new"
"$program" settings apply --api "$api" "$state/good.json" 2>/dev/null && fail "settings that were not kept were taken"
[ "$("$program" settings get --api "$api")" = "{}" ] || fail "settings that were not kept are in force"

kill "$pid"; wait "$pid" || fail "SIGTERM did not end it with 0"
pid=""

# What commit a119355 has written is in force after the start; neither file is refused.
for kind in list sources; do
    rm -rf "$state"/*
    cp "$stored/$kind"/*.json "$state"
    start
    "$program" settings get --api "$api" > "$state/got"
    # The file holds the document below its second line, two columns in.
    sed -e '1,2d' -e '$d' -e 's/^  //' -e 's/^"settings": //' "$stored/$kind/settings.json" |
        cmp -s - "$state/got" || fail "stored settings ($kind) were not taken as they are"
    grep -q '"event":"set-aside"' "$state/log" && fail "stored state ($kind) was refused"
    grep -q '"event":"recalled"' "$state/log" || fail "stored state ($kind) was not recalled"
    curl -s "http://$api/v1/members" > "$state/members"
    for port in 9001 9002 9005 9006 9007; do
        grep -q "127.0.0.1:$port" "$state/members" || fail "an instance of the stored state ($kind) is not listed"
    done
    kill "$pid"; wait "$pid" || fail "SIGTERM did not end it with 0"
    pid=""
done
