#!/bin/bash
# Runs the gateway as a process with --platform: it serves from the last known state, keeps running on SIGHUP with a
# valid and with an invalid file, exits with 0 on SIGTERM, and with 2 if the configuration is invalid at startup.
# Usage: platform.sh PROGRAM
set -eu
program=$1
folder=$(mktemp -d)
pid=""
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
fail() { echo "$1"; cat "$folder/log"; exit 1; }

# The addresses of discovery and of the control service refuse connections: port 9 of an unused loopback address.
cat > "$folder/config.json" <<'EOF'
{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.9.9.9:9", "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
 "platform": {"address": "127.9.9.9:9", "news": {"image": 1, "ring": 0, "progress": "Healthy", "ceiling": 1, "lag_ms": 5}},
 "known": {"generation": 1, "reset": true, "instances": []},
 "settings": {"GroupSize": 1, "Grades": [{"Name": "any", "Effect": "free", "ObjectiveS": 0.2, "DeadlineS": 0.5}],
  "Limits": {"KeepaliveS": 15, "ConnectTimeoutS": 0.25, "MostTries": 3, "RetryAfter": true, "MaxRetryAfterS": 0.5}}}
EOF
export EDGE_CONFIG="$folder/config.json"
"$program" gateway --platform --logs json 2>"$folder/log" &
pid=$!
for _ in $(seq 1000); do grep -q '"event":"ready"' "$folder/log" && break; kill -0 "$pid"; sleep 0.01; done
port=$(sed -n 's/.*"listen":"127.0.0.1:\([0-9]*\)".*/\1/p' "$folder/log" | head -1)

exec 3<>"/dev/tcp/127.0.0.1/$port"
printf '*1\r\n$4\r\nPING\r\n' >&3
read -r -t 5 line <&3
[ "$line" = $'+PONG\r' ] || fail "PING was answered with '$line'"
printf '*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$2\r\nid\r\n$11\r\nc=any,d=400\r\n' >&3
read -r -t 5 line <&3
case "$line" in -BUSY*) ;; *) fail "a request without endpoints was answered with '$line'" ;; esac

wait_for() { for _ in $(seq 500); do [ "$(grep -c "\"event\":\"$1\"" "$folder/log")" -ge "$2" ] && return; sleep 0.01; done; fail "event $1 was not logged"; }
sed -i 's/127.9.9.9:9"/127.9.9.8:9"/' "$folder/config.json"
kill -HUP "$pid"; wait_for configuration 1
cp "$folder/config.json" "$folder/good"
echo '{"name": "n1"' > "$folder/config.json"
kill -HUP "$pid"; kill -HUP "$pid"; wait_for configuration-kept 1
printf '*1\r\n$4\r\nPING\r\n' >&3
read -r -t 5 line <&3
[ "$line" = $'+PONG\r' ] || fail "PING after SIGHUP was answered with '$line'"

kill -TERM "$pid"
status=0; wait "$pid" || status=$?; pid=""
[ "$status" = 0 ] || fail "exit status $status after SIGTERM"

status=0; "$program" gateway --platform 2>"$folder/log" || status=$?
[ "$status" = 2 ] && grep -q 'not JSON' "$folder/log" || fail "exit status $status, or another error, with a truncated configuration"
sed 's/"sockets": 256/"sockets": "many"/' "$folder/good" > "$folder/config.json"
status=0; "$program" gateway --platform 2>"$folder/log" || status=$?
[ "$status" = 2 ] && grep -q 'limits.sockets' "$folder/log" || fail "exit status $status, or another error, with an invalid field"
