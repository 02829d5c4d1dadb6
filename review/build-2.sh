#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2/ ./review/cmd2/...
