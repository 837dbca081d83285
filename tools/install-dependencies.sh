#!/usr/bin/env bash
# Installs the build tools and libraries that the workspace declares (Debian 12).
set -euo pipefail
apt-get update
apt-get install -y --no-install-recommends \
    g++ cmake ninja-build ccache clang-format clang-tidy curl python3 capnproto \
    libboost1.81-dev libboost-json1.81-dev libcapnp-dev libcxxopts-dev libgoogle-glog-dev \
    libyaml-cpp-dev libssl-dev libxxhash-dev libgtest-dev
