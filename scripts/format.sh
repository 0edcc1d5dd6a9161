#!/usr/bin/env bash
# Formats all sources; with --check, only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
[ ${#files[@]} -eq 0 ] && exit 0
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
