#!/usr/bin/env bash
# Installs the build dependencies that are missing: cmake, make and a C compiler for nng's C library,
# and curl.
set -euo pipefail

missing=()
command -v cmake >/dev/null || missing+=(cmake)
command -v cc >/dev/null || missing+=(gcc libc6-dev)
command -v make >/dev/null || missing+=(make)
command -v curl >/dev/null || missing+=(curl)
if [ ${#missing[@]} -gt 0 ]; then
    if ! command -v apt-get >/dev/null; then
        echo "missing: ${missing[*]}; install them with the package manager of this machine" >&2
        exit 1
    fi
    as_root=()
    [ "$(id -u)" = 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
if ! command -v cargo >/dev/null; then
    echo "missing: cargo; install Rust 1.85 or later" >&2
    exit 1
fi
