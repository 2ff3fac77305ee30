#!/bin/bash
# Runs all benchmarks of a build; docs/MEASUREMENTS.md explains the results.
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
