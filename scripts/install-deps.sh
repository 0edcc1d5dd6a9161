#!/usr/bin/env bash
# Installs the build and test dependencies on Debian 12. Does nothing when all
# of them are present.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy curl
  libboost1.81-dev libboost-test1.81-dev libwebsocketpp-dev
  nlohmann-json3-dev libcxxopts-dev liblog4cplus-dev libssl-dev
  zlib1g-dev librapidcheck-dev libbenchmark-dev libxxhash-dev libclang-rt-14-dev gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y -q "${missing[@]}" >/dev/null
