#!/usr/bin/env bash
# Installs what the build needs, from Debian's packages; does nothing where all of it is there.
set -euo pipefail

packages=(
  ca-certificates cmake ninja-build g++ clang-format clang-tidy python3
  libboost1.81-dev libboost-program-options1.81-dev
  libcpp-httplib-dev nlohmann-json3-dev libwebsocketpp-dev
  librapidcheck-dev doctest-dev libbenchmark-dev
  libspdlog-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
