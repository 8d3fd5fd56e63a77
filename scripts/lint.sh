#!/usr/bin/env bash
# Runs clang-tidy with a build folder's compile_commands.json. A file that
# passed is skipped until it, a file that it includes or the checks change;
# BUILD_FOLDER/lint holds an empty stamp file for each version that passed.
# Usage: scripts/lint.sh [BUILD_FOLDER [FILE...]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' |
    grep -v -e '^schema/gen/' -e 'third_party_easylogging')
fi
stamps=$build/lint
mkdir -p "$stamps"
checks=$({ clang-tidy --version; cat .clang-tidy; } | sha256sum)
export build stamps checks

# Prints a hash of a file's preprocessed text and the checks. The text keeps
# the comments, since NOLINT comments change the result.
key_of() {
  local text
  text=$(g++ -std=c++20 -E -C -Isrc -I. -Ischema/gen "$1" 2>/dev/null) || return 1
  printf '%s %s\n%s\n' "$1" "$checks" "$text" | sha256sum | cut -d ' ' -f 1
}

check() {
  local key=""
  key=$(key_of "$1") || key=""
  if [ -n "$key" ] && [ -e "$stamps/$key" ]; then
    return 0
  fi
  clang-tidy -p "$build" --quiet "$1" 2>/dev/null || return 1
  [ -z "$key" ] || touch "$stamps/$key"
}
export -f key_of check
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I '{}' bash -c 'check "$1"' _ '{}'
