#!/usr/bin/env bash
# Shows lentilcross at work on loopback: six daemons in two failure domains,
# three services and a platform stand-in, with a load of nine organisations.
# While the load runs, a key is withdrawn, the preset is switched, one daemon is
# stopped and one is killed. Exit status 0 only if every expectation holds.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
declare -A pid_of=()
failures=0

stop_all() {
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "${LENTILCROSS_DEMO_KEEP:-}" = 1 ]; then
    echo "settings and logs: $work"
  else
    rm -rf "$work"
  fi
}
trap stop_all EXIT

start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pid_of[$name]=$!
}

expect() {  # expect TEXT COMMAND...
  local text=$1
  shift
  if "$@"; then
    echo "  held    $text"
  else
    echo "  FAILED  $text"
    failures=$((failures + 1))
  fi
}

now_ms() { echo $(($(date +%s%N) / 1000000)); }

wait_until() {  # wait_until SECONDS TEXT COMMAND...: polls until COMMAND holds
  local limit=$(($(now_ms) + $1 * 1000)) text=$2
  shift 2
  until "$@"; do
    if [ "$(now_ms)" -gt "$limit" ]; then
      echo "gave up waiting: $text" >&2
      return 1
    fi
    sleep 0.05
  done
}

scripts/install-deps.sh
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target lentilcross standin_target standin_platform >"$work/build.log" ||
  { tail -40 "$work/build.log"; exit 1; }
lentilcross=build/lentilcross

# Addresses: one block of ten ports per host, below the ephemeral ports.
base=${LENTILCROSS_DEMO_PORT:-$((20000 + RANDOM % 110 * 100))}
platform=127.0.0.1:$base
platform_control=127.0.0.1:$((base + 1))
hosts=(stock-mb-1 deposits-mb-1 catalogue-mb-1 stock-ab-1 deposits-ab-1 catalogue-ab-1)
address() {  # address HOST OFFSET: 0 caller, 1 onward, 2 peer, 3 operator, 4 target, 5 target control
  local i
  for i in "${!hosts[@]}"; do
    if [ "${hosts[$i]}" = "$1" ]; then echo "127.0.0.1:$((base + 10 * (i + 1) + $2))"; fi
  done
}
domain_of() { echo "${1#*-}"; }
service_of() { echo "${1%%-*}"; }

# Organisations: published rate and burst, offered rate. The last two offer more
# than their rate.
organisations=(
  "coopers 60 30 30" "tanners 40 20 20" "millers 40 20 20" "weavers 30 15 15"
  "joiners 30 15 15" "saddlers 30 15 15" "chandlers 20 10 10"
  "drapers 15 8 45" "coopers-east 10 5 30")
withdrawn=chandlers

declare -A key_of=()
for line in "${organisations[@]}"; do
  key_of[${line%% *}]=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
done

write_configuration() {  # write_configuration VERSION PRESET WITHDRAWN
  local separator name rate burst offered host
  echo "{\"version\": $1, \"preset\": \"$2\", \"rate_owners_per_domain\": 2,"
  echo ' "failure_domains": {"mb-1": {"region": "manitoba", "share": 0.5},'
  echo '  "ab-1": {"region": "alberta", "share": 0.5}},'
  separator=' "hosts": {'
  for host in "${hosts[@]}"; do
    echo "$separator\"$host\": {\"failure_domain\": \"$(domain_of "$host")\", \"peer\": \"$(address "$host" 2)\"}"
    separator='  ,'
  done
  separator='}, "services": {'
  for service in stock deposits catalogue; do
    echo "$separator\"$service\": {\"targets\": [{\"name\": \"$service-mb\", \"host\": \"$service-mb-1\"},"
    echo "    {\"name\": \"$service-ab\", \"host\": \"$service-ab-1\"}]}"
    separator='  ,'
  done
  echo '}, "routes": {'
  echo '  "/stock": {"service": "stock", "importance": "lookup", "idempotent": true, "open": false, "timeout_ms": 1000},'
  echo '  "/catalogue": {"service": "catalogue", "importance": "lookup", "idempotent": true, "open": false, "timeout_ms": 1000},'
  echo '  "/deposits": {"service": "deposits", "importance": "critical", "idempotent": false, "open": false, "timeout_ms": 1500}'
  separator='}, "organisations": {'
  for line in "${organisations[@]}"; do
    read -r name rate burst offered <<<"$line"
    echo "$separator\"$name\": {\"rate\": $rate, \"burst\": $burst, \"weight\": 1}"
    separator='  ,'
  done
  separator='}, "keys": {'
  for line in "${organisations[@]}"; do
    name=${line%% *}
    echo "$separator\"$name-2026a\": {\"organisation\": \"$name\","
    echo "    \"sha256\": \"$(printf %s "${key_of[$name]}" | sha256sum | cut -d' ' -f1)\", \"withdrawn\": $([ "$name" = "$3" ] && echo true || echo false)}"
    separator='  ,'
  done
  echo '}, "presets": {'
  echo '  "ordinary": {"rate_factor": 1.0, "extra_attempts": 2, "queue_ms": 100, "refuse_importance_below": "background"},'
  echo '  "peak": {"rate_factor": 1.0, "extra_attempts": 1, "queue_ms": 50, "refuse_importance_below": "lookup"}}}'
}

write_settings() {  # write_settings HOST
  cat <<SETTINGS
{
  // Written by scripts/demo.sh.
  "host": "$1", "failure_domain": "$(domain_of "$1")",
  "region": "$([ "$(domain_of "$1")" = mb-1 ] && echo manitoba || echo alberta)",
  "caller": "$(address "$1" 0)", "onward": "$(address "$1" 1)",
  "peer": "$(address "$1" 2)", "operator": "$(address "$1" 3)",
  "targets": [{"name": "$(service_of "$1")-$(domain_of "$1" | cut -d- -f1)", "service": "$(service_of "$1")", "address": "$(address "$1" 4)"}],
  "platform": ["$platform"], "peer_keys": ["$peer_key"],
  "seeds": ["$(address stock-mb-1 2)", "$(address stock-ab-1 2)"],
  "log": {"level": "info"},
  // Shorter than the defaults, so that the demo need not wait for them.
  "startup_wait_ms": 2000, "rate_handover_ms": 4000, "loan_term_ms": 1000
}
SETTINGS
}

peer_key=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
write_configuration 1 ordinary none >"$work/configuration-1.json"
write_configuration 2 ordinary "$withdrawn" >"$work/configuration-2.json"
write_configuration 3 peak "$withdrawn" >"$work/configuration-3.json"
for host in "${hosts[@]}"; do write_settings "$host" >"$work/$host.json"; done
{
  separator='{'
  for name in "${!key_of[@]}"; do
    echo "$separator\"$name\": \"${key_of[$name]}\""
    separator=','
  done
  echo '}'
} >"$work/keys.json"

$lentilcross check "$work"/configuration-*.json "$work"/*-1.json

echo "starting a platform stand-in, ${#hosts[@]} targets and ${#hosts[@]} daemons"
start platform build/standin_platform --listen "$platform" --control "$platform_control" \
  --config "$work/configuration-1.json"
for host in "${hosts[@]}"; do
  case $(service_of "$host") in
    stock) onward='[]' ;;
    deposits | catalogue) onward='[{"path": "/stock"}]' ;;
  esac
  start "target-$host" build/standin_target --name "$host" --listen "$(address "$host" 4)" \
    --control "$(address "$host" 5)" --onward "$(address "$host" 1)" \
    --behaviour "{\"slots\": 8, \"service_ms\": 4, \"exponential\": true, \"onward\": $onward}"
  start "$host" $lentilcross daemon --settings "$work/$host.json"
done

field() {  # field HOST NAME: a member of the daemon's status
  $lentilcross status --address "$(address "$1" 3)" --json 2>/dev/null |
    sed -n "s/^  \"$2\": \"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}$/\1/p"
}
field_is() { [ "$(field "$1" "$2")" = "$3" ]; }
field_is_everywhere() {  # field_is_everywhere NAME VALUE HOST...
  local name=$1 value=$2 host
  shift 2
  for host in "$@"; do field_is "$host" "$name" "$value" || return 1; done
}
http_status() {  # http_status HOST ORGANISATION PATH
  curl -s -o /dev/null --max-time 2 -w '%{http_code}' -H "X-Api-Key: ${key_of[$2]}" \
    "http://$(address "$1" 0)$3" || true
}
answers() { [ "$(http_status "$1" "$2" /stock)" = "$3" ]; }
answers_everywhere() {  # answers_everywhere ORGANISATION STATUS HOST...
  local organisation=$1 status=$2 host
  shift 2
  for host in "$@"; do answers "$host" "$organisation" "$status" || return 1; done
}
counter_of() {  # counter_of HOST NAME: of its target
  curl -s "http://$(address "$1" 5)/counters" | sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}
has_executed() { [ "$(counter_of "$1" executions)" -ge "$2" ]; }

wait_until 10 "all daemons ready" field_is_everywhere ready true "${hosts[@]}"
# A new process holds no quota before the handover time has passed.
wait_until 15 "every daemon admits requests" answers_everywhere coopers 200 "${hosts[@]}"

stopped=stock-ab-1
killed=catalogue-ab-1
survivors=()
callers=""
for host in "${hosts[@]}"; do
  callers+="${callers:+,}$(address "$host" 0)"
  [ "$host" = $stopped ] || [ "$host" = $killed ] || survivors+=("$host")
done

load=(--caller "$callers" --keys "$work/keys.json" --duration-ms 12000 --timeout-ms 1500
  --retries 2 --seed 7 --echo
  --route GET:/stock:5 --route GET:/catalogue:3 --route POST:/deposits:2:ticket
  --expect "/incomplete=0" --expect "/ok>=1000"
  --expect "/routes/POST ~1deposits/ok>=100" --expect "/reasons/rate-exceeded>0"
  --expect "/reasons/withdrawn-key>0"
  --expect "/daemons/$(address $stopped 0)/failures/connection-closed=0"
  --expect "/daemons/$(address $stopped 0)/failures/timeout=0")
for line in "${organisations[@]}"; do
  read -r name rate burst offered <<<"$line"
  load+=(--organisation "$name:$offered:$rate:$burst" --expect "/organisations/$name/over_limit=0"
    --expect "/organisations/$name/ok>=1")
done
echo "sending a load of ${#organisations[@]} organisations to ${#hosts[@]} daemons"
start load $lentilcross load "${load[@]}"
wait_until 10 "traffic reaches the targets" has_executed stock-mb-1 100

publish() { gzip -c "$work/configuration-$1.json" | curl -sf --data-binary @- "http://$platform_control/publish" >/dev/null; }

begin=$(now_ms)
publish 2
withdrawn_everywhere=no
wait_until 8 "key withdrawn everywhere" answers_everywhere $withdrawn 403 "${hosts[@]}" && withdrawn_everywhere=yes
withdrawal_ms=$(($(now_ms) - begin))

begin=$(now_ms)
publish 3
switched_everywhere=no
wait_until 8 "preset everywhere" field_is_everywhere preset peak "${hosts[@]}" && switched_everywhere=yes
switch_ms=$(($(now_ms) - begin))

kill -TERM "${pid_of[$stopped]}"
stop_status=0
wait "${pid_of[$stopped]}" || stop_status=$?
unset "pid_of[$stopped]"
kill -KILL "${pid_of[$killed]}"
wait "${pid_of[$killed]}" 2>/dev/null || true
unset "pid_of[$killed]"

load_status=0
wait "${pid_of[load]}" || load_status=$?
unset "pid_of[load]"

counter_sum() {  # counter_sum NAME: over all targets
  local sum=0 host
  for host in "${hosts[@]}"; do sum=$((sum + $(counter_of "$host" "$1"))); done
  echo $sum
}
# Executions of one deposit at all targets; the id is its ticket.
deposits() {
  local host
  for host in "${hosts[@]}"; do curl -s "http://$(address "$host" 5)/executions"; done |
    awk '$1 == "POST" { runs[$3] += $4 } END { for (id in runs) { n++; if (runs[id] > 1) twice++ } print n + 0, twice + 0 }'
}
read -r deposits_run deposits_twice <<<"$(deposits)"

# What operators can read of one daemon, next to all logs.
for path in status metrics "audit?since=0"; do
  curl -s "http://$(address stock-mb-1 3)/$path" >>"$work/operator.log"
done
{
  echo "$peer_key"
  for name in "${!key_of[@]}"; do
    echo "${key_of[$name]}"
    printf %s "${key_of[$name]}" | sha256sum | cut -d' ' -f1
  done
} >"$work/secrets"
shows_no_secret() { ! grep -q -F -f "$work/secrets" "$work"/*.log; }

echo "summary"
sed -n 's/^  "\(elapsed_s\|offered\|ok\|attempts\|retries\)": \(.*\),$/  \1 \2/p' "$work/load.out"
for part in reasons failures latency_ms; do
  sed -n "/^  \"$part\": {$/,/^  }/p" "$work/load.out" |
    sed -n "s/^    \"\(.*\)\": \([0-9.]*\),\{0,1\}$/  $part: \1 \2/p"
done
echo "  deposits run $deposits_run"
echo "expectations"
expect "the load held its own (whole answers, rates and bursts, no cut request)" [ $load_status = 0 ]
sed 's/^/          /' "$work/load.log"
expect "no deposit ran twice ($deposits_run ran)" [ "$deposits_twice" = 0 ]
expect "no target saw a key" [ "$(counter_sum keys_seen)" = 0 ]
expect "no log, status, metric or audit record shows a key or its digest" shows_no_secret
expect "every call carried a context" [ "$(counter_sum missing_context)" = 0 ]
expect "targets made onward calls" [ "$(counter_sum onward_calls)" -gt 0 ]
expect "the withdrawn key was refused everywhere after $withdrawal_ms ms (limit 4000)" \
  [ $withdrawn_everywhere = yes -a $withdrawal_ms -le 4000 ]
expect "the preset was in force everywhere after $switch_ms ms (limit 4000)" \
  [ $switched_everywhere = yes -a $switch_ms -le 4000 ]
expect "the stopped daemon exited with status 0 (got $stop_status)" [ $stop_status = 0 ]
expect "no request was cut at the target of the stopped daemon" \
  [ "$(counter_of $stopped cancelled_running)" = 0 ]
expect "the survivors still answer" wait_until 5 "survivors" answers_everywhere coopers 200 "${survivors[@]}"
expect "the audit trail shows three versions" \
  [ "$($lentilcross audit --address "$(address stock-mb-1 3)" --json | grep -c '"version":[123][,}]')" = 3 ]
echo "$failures expectations failed"
[ $failures = 0 ]
