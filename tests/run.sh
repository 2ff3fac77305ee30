#!/bin/bash
# Runs all tests of a build in parallel. The last line is "N passed, N failed".
# usage: tests/run.sh BUILD_FOLDER
set -u
build=$1
logs=$build/test-logs
jobs=$(nproc)
limit_s=240
rm -rf "$logs"
mkdir -p "$logs"

# Writes the TAP output of a test to a log; a crash or a timeout is one failure.
run_one() {
	name=$(printf '%s' "$1" | tr / _)
	case $1 in
	*.scn) timeout -k 5 "$limit_s" tests/scenario.sh "$build" "$1" ;;
	*) timeout -k 5 "$limit_s" "$1" --tap ;;
	esac >"$logs/$name.tap" 2>"$logs/$name.err" </dev/null
	status=$?
	if [ $status -ne 0 ] && ! grep -q '^not ok' "$logs/$name.tap"; then
		echo "not ok $1 exit status $status" >>"$logs/$name.tap"
	fi
}
export -f run_one
export build logs limit_s

{
	find "$build/tests/unit" "$build/tests/contract" "$build/platform/tests" -type f -name 'test_*' \
		! -name '*.o' ! -name '*.d' 2>/dev/null | sort
	ls tests/scenarios/*.scn 2>/dev/null
} | xargs -P "$jobs" -I{} bash -c 'run_one {}'

passed=$(cat "$logs"/*.tap | grep -c '^ok')
failed=0
for tap in "$logs"/*.tap; do
	grep -q '^not ok' "$tap" || continue
	while read -r line; do
		id=$(basename "$tap" .tap):${line#not ok }
		if [ -s KNOWN-RED.txt ] && grep -qF "$(basename "$tap" .tap)" KNOWN-RED.txt; then
			echo "known red: $id"
		else
			failed=$((failed + 1))
			echo "FAILED: $id"
			head -n 25 "${tap%.tap}.err"
		fi
	done < <(grep '^not ok' "$tap")
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
