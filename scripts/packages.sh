#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
packages=(
  gcc g++ cmake ninja-build pkg-config ccache git clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev
  capnproto libcapnp-dev prometheus-cpp-dev libpopt-dev libeasyloggingpp-dev
  doctest-dev librapidcheck-dev libxxhash-dev libsodium-dev libzstd-dev
  libcurl4-openssl-dev curl
)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
