#!/bin/bash
# Runs scenarios on the thread sanitizer build; fails on any report.
# Build it first with "make VARIANT=tsan all".
# usage: tests/tsan.sh [SCENARIO...]
set -u
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
export TSAN_OPTIONS="exitcode=0 log_path=$logs/report suppressions=$PWD/tests/tsan.supp"
[ $# -gt 0 ] || set -- tests/scenarios/*.scn
status=0
for scenario; do
	tests/scenario.sh build/tsan "$scenario" 2>/dev/null | head -n 1
	[ "${PIPESTATUS[0]}" -eq 0 ] || status=1
done
reports=$(cat "$logs"/report* 2>/dev/null | grep -c 'WARNING: ThreadSanitizer')
cat "$logs"/report* 2>/dev/null | head -n 100
echo "$reports thread sanitizer reports"
[ "$status" -eq 0 ] && [ "$reports" -eq 0 ]
