#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints that list.
# A line of KNOWN-RED.txt has four fields, separated by tabs: TestName[/subtest],
# command and seed, observed failure, and issue. Lines that begin with # are comments.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=()
if [ -s KNOWN-RED.txt ]; then
	names=$(grep -v '^#' KNOWN-RED.txt | cut -f1 | sed '/^$/d')
	if [ -n "$names" ]; then
		echo "skipped, known to fail:"
		grep -v '^#' KNOWN-RED.txt | sed '/^$/d; s/^/  /'
		pattern=$(sed 's/[.+*?()|[\]{}^$]/\\&/g; s#^#^#; s#$#$#; s#/#$/^#g' <<<"$names" | paste -sd'|')
		skip=(-skip "$pattern")
	fi
fi
# The tests of platform/parsleypulley-vm run one after another, since most start many processes; beside other work they
# come close to the default limit of ten minutes for a package.
exec go test -timeout 20m "${skip[@]}" "$@" ./...
