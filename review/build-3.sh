#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 with the compiler alone, without a network. The daemon that they
# start is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
