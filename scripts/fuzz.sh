#!/usr/bin/env bash
# Runs every fuzz target of the repository, one at a time. The argument is a number
# of executions (20000x) or a duration (20s) for each target. With a duration,
# go test sometimes fails a target that has found nothing, with "context deadline
# exceeded". FUZZ_WORKERS is the number of parallel workers (default 2).
set -euo pipefail
cd "$(dirname "$0")/.."

workers=${FUZZ_WORKERS:-2}
grep -rl --include="*_test.go" "^func Fuzz" internal cmd platform | sort | while read -r file; do
	for target in $(grep -oE '^func Fuzz[A-Za-z0-9_]*' "$file" | cut -d' ' -f2); do
		echo "$target in $(dirname "$file")"
		go test -run '^$' -fuzz "^$target\$" -fuzztime "$1" -parallel "$workers" "./$(dirname "$file")"
	done
done
