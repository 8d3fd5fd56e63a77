#!/usr/bin/env bash
# Installs missing packages, builds, and runs the formatter check, the linter
# and all tests. The core tests also run under AddressSanitizer and UBSan.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '\n== %s\n' "$1"; }

step "packages"
scripts/packages.sh
step "format"
scripts/format.sh --check
step "build"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
step "build with sanitizers"
cmake -S . -B build-sanitize -G Ninja -DCASSIABEND_SANITIZE=ON >/dev/null
cmake --build build-sanitize --target core_tests
step "lint"
scripts/lint.sh build
step "tests with sanitizers"
ctest --test-dir build-sanitize -L core --output-on-failure -j "$(nproc)"
step "tests"
ctest --test-dir build --output-on-failure -j "$(($(nproc) / 2 + 1))"
if [ -s KNOWN-RED.txt ]; then
  step "known failures, not part of the verdict"
  cat KNOWN-RED.txt
fi
