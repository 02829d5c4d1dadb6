#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review3/. The program of the deploy file is built by its build line.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/cmd3/...
