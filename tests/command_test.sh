#!/usr/bin/env bash
# Exit status and output of the subcommands: tests/command_test.sh BINARY.
# Guards against a failed check that exits with 0, findings without their place,
# and a daemon that starts with bad settings.
set -uo pipefail
binary=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

exits() {  # exits STATUS ARGUMENT...
  local wanted=$1 got=0
  shift
  "$binary" "$@" >"$work/out" 2>"$work/err" || got=$?
  if [ "$got" != "$wanted" ]; then
    echo "lentilcross $*: exit status $got in place of $wanted"
    failures=$((failures + 1))
  fi
}
prints() {  # prints FILE PATTERN: the last command wrote a matching line
  if ! grep -q -- "$2" "$work/$1"; then
    echo "no line matches $2 in:"
    cat "$work/$1"
    failures=$((failures + 1))
  fi
}

exits 0 --version && prints out '^lentilcross [0-9]'
exits 0 --help && prints out '^  daemon '
for subcommand in daemon check status audit load; do
  exits 0 $subcommand --help && prints out '^Example:'
  exits 2 $subcommand --no-such-option
done
exits 2 && exits 2 serve && exits 2 check && exits 2 daemon
exits 2 status --address nowhere
exits 1 status --address 127.0.0.1:1
exits 1 audit --address 127.0.0.1:1
exits 2 load --caller 127.0.0.1:1 --organisation a:1 --route GET:/:1 --expect 'ok'

printf '{"host": "a", "zone": 1}' >"$work/settings.json"
printf '{"version": "x"}' >"$work/configuration.json"
exits 1 check "$work/settings.json" "$work/configuration.json" "$work/absent.json"
prints out "^$work/settings.json:/zone: unknown"
prints out "^$work/configuration.json:/version: wrong type"
prints out "^$work/absent.json:0:0: "
exits 1 daemon --settings "$work/settings.json" && prints err "^$work/settings.json:/zone: unknown"

# Nothing listens at port 1, so that every request fails to connect.
load=(load --caller 127.0.0.1:1 --organisation a:100 --route GET:/:1 --duration-ms 300)
exits 0 "${load[@]}" --expect '/ok=0' --expect '/failures/connect-failed>0'
exits 1 "${load[@]}" --expect '/ok>0' && prints err 'expectation failed: /ok>0'
[ $failures = 0 ]
