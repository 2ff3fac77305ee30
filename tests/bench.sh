#!/bin/bash
# Runs every measurement of a build; docs/MEASUREMENTS.md says what is what.
# usage: tests/bench.sh BUILD_FOLDER
set -u
build=$1
for bench in "$build"/tests/bench/bench_*; do
	[ -x "$bench" ] && [ -f "$bench" ] || continue
	echo "== $(basename "$bench")"
	timeout 300 "$bench"
done
echo "== path"
tests/bench/path.sh "$build"
echo "== noisy"
tests/bench/noisy.sh "$build"
