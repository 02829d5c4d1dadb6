#!/usr/bin/env bash
# Builds the programs that the scripts of the review start beside the one of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/cmd/...
