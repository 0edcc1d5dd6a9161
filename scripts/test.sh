#!/usr/bin/env bash
# Installs what is missing, builds, and runs the formatter check, the linter and
# all tests through CTest. Tests listed in KNOWN-RED.txt are printed and passed
# over.
#   scripts/test.sh                    the default build, then the core tests
#                                      under AddressSanitizer and
#                                      UndefinedBehaviorSanitizer, then the
#                                      fuzz targets
#   scripts/test.sh --sanitize thread  all tests under ThreadSanitizer
set -euo pipefail
cd "$(dirname "$0")/.."

sanitize=""
while [ $# -gt 0 ]; do
  case "$1" in
    --sanitize) sanitize="${2:?--sanitize needs address or thread}"; shift 2 ;;
    *) echo "unknown option: $1" >&2; exit 2 ;;
  esac
done

scripts/install-deps.sh

# Lets a checkout in another folder use the same compiled objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true

# Prints the tests listed as known red for a build (plain, address or thread). An
# entry without the line `build:` counts for all.
known_red_in() {  # known_red_in BUILD
  [ -f KNOWN-RED.txt ] || return 0
  awk -v want="$1" '/^test:/ { test = $2; build = want }
                    /^build:/ { build = $2 }
                    /^issue:/ && build == want { print test }' KNOWN-RED.txt
}

build() {  # build DIR [CMAKE ARGUMENT...]
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
  cmake --build "$dir"
}

run_tests() {  # run_tests DIR [CTEST ARGUMENT...]
  local dir=$1
  shift
  local exclude=() known_red=() kind=plain
  [ "$dir" = build ] || kind=${dir#build-}
  mapfile -t known_red < <(known_red_in "$kind")
  if [ ${#known_red[@]} -gt 0 ]; then
    echo "known red, not run: ${known_red[*]}"
    exclude=(-E "^($(IFS='|'; echo "${known_red[*]}"))$")
  fi
  ctest --test-dir "$dir" --output-on-failure --no-tests=error -j 3 "${exclude[@]}" "$@"
}

if [ -n "$sanitize" ]; then
  build "build-$sanitize" -DLENTILCROSS_SANITIZE="$sanitize"
  run_tests "build-$sanitize"
  exit
fi

scripts/format.sh --check
build build
scripts/lint.sh build
build build-address -DLENTILCROSS_SANITIZE=address
run_tests build-address
run_tests build
scripts/fuzz.sh
