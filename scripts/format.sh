#!/usr/bin/env bash
# Formats every source file, or with --check fails where one is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '^schema/gen/' |
  xargs -r clang-format "${mode[@]}"
