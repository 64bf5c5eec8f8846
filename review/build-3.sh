#!/bin/sh
# Builds every stand-in that the scripts of this review start.
set -e
cd "$(dirname "$0")/lib3"
cargo build --release --locked --offline
