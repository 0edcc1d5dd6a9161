#!/usr/bin/env bash
# Behaviour of the stand-ins: tests/standin_test.sh BUILD_DIR. Guards against
# stand-ins that behave well when they are told to fail, so that the tests above
# them would prove nothing, and against executions that are not counted.
set -uo pipefail
cd "$1"
work=$(mktemp -d)
base=$((31000 + RANDOM % 170 * 10))  # above the demo's ports, below the ephemeral ones
failures=0
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait; rm -rf "$work"' EXIT

check() {  # check TEXT WANTED GOT
  [ "$2" = "$3" ] && return
  echo "$1: wanted '$2', got '$3'"
  failures=$((failures + 1))
}
at() { echo "127.0.0.1:$((base + $1))"; }
status() { curl -s -o /dev/null --max-time "${2:-2}" -w '%{http_code}' "http://$1"; }
change() { curl -sf -o /dev/null -d "$2" "http://$1/behaviour"; }
counter() { curl -s "http://$1/counters" | sed "s/.*\"$2\":\([0-9]*\).*/\1/"; }

echo '{"version": 3}' >"$work/configuration.json"
./standin_platform --listen "$(at 0)" --control "$(at 1)" --config "$work/configuration.json" &
pids+=($!)
./standin_target --name one --listen "$(at 2)" --control "$(at 3)" \
  --behaviour '{"slots": 1, "service_ms": 100, "queue": 1}' &
pids+=($!)
./standin_relay --listen "$(at 4)" --to "$(at 2)" --control "$(at 5)" &
pids+=($!)
for port in 1 3 5; do
  curl -s -o /dev/null --retry 50 --retry-connrefused --retry-delay 0 "http://$(at $port)/counters"
done

check "an old version is answered at once" 200 "$(status "$(at 0)/v1/config?after=2&wait_ms=9000")"
check "the current version times out" 304 "$(status "$(at 0)/v1/config?after=3&wait_ms=50")"
status "$(at 0)/v1/config?after=3&wait_ms=9000" 5 >"$work/watch" &
watch=$!
until [ "$(counter "$(at 1)" pending_watches)" = 1 ]; do sleep 0.02; done
change "$(at 1)" '{"stale": true}'
curl -s -o /dev/null -d '{"version": 4}' "http://$(at 1)/publish"
check "a stale platform serves the old version" 3 "$(counter "$(at 1)" served_version)"
change "$(at 1)" '{"stale": false}'
wait $watch
check "a watch sees the new version" 200 "$(cat "$work/watch")"
change "$(at 1)" '{"down": true}'
check "a platform that is down closes the connection" 000 "$(status "$(at 0)/v1/config")"

for _ in 1 2; do curl -s -o /dev/null -X POST -H 'Idempotency-Key: k' "http://$(at 2)/deposits"; done
check "a double run is counted" 1 "$(counter "$(at 3)" double_runs)"
change "$(at 3)" '{"service_ms": 5000}'
status "$(at 2)/stock?request=a" 1 >/dev/null
until [ "$(counter "$(at 3)" running)" = 0 ]; do sleep 0.02; done
check "a closed connection cancels" 1 "$(counter "$(at 3)" cancelled_running)"
change "$(at 3)" '{"service_ms": 20, "draining": true}'
check "a draining target refuses" 503 "$(status "$(at 2)/stock")"
change "$(at 3)" '{"draining": false}'

check "the relay passes bytes" 200 "$(status "$(at 4)/stock")"
change "$(at 5)" '{"scope": "new", "backward": {"mode": "silent"}}'
check "a silent relay gives no answer" 000 "$(status "$(at 4)/stock" 0.5)"
change "$(at 5)" '{"scope": "new", "backward": {"mode": "pass"}, "forward": {"mode": "cut"}}'
check "a cut relay closes" 000 "$(status "$(at 4)/stock")"
[ $failures = 0 ]
