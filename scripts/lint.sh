#!/usr/bin/env bash
# Runs clang-tidy on all sources: scripts/lint.sh [BUILD_DIR]. A file whose
# content, project headers, compile command and checks are unchanged since it
# last passed is skipped; the stamps are kept in BUILD_DIR/lint.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p "$build/lint"

lint_one() {
  local file=$1 build=$2 headers command stamp
  # Project headers that the file includes, directly or not.
  headers=$(ninja -C "$build" -t deps 2>/dev/null | awk -v want="/$file.o:" '
    /^[^ ]/ { on = index($0, want) > 0 }
    on && /\/(include\/lentilcross|src|tests|tools)\/[^ ]*\.h$/ { print $1 }' | sort -u)
  command=$(grep -F -- "/$file\"" "$build/compile_commands.json" || true)
  stamp=$build/lint/$({ cat "$file" .clang-tidy $headers 2>/dev/null; echo "$command"; } |
    sha256sum | cut -c1-32)
  [ -e "$stamp" ] && return 0
  echo "lint $file"
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null && touch "$stamp"
}
export -f lint_one

git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '_fuzz\.cpp$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {} '"$build"
