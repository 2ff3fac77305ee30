#!/bin/sh
# Runs clang-tidy and prints only its findings.
# usage: tests/lint.sh COMPILER_FLAGS... -- FILE...
flags=
while [ "$1" != -- ]; do
	flags="$flags $1"
	shift
done
shift
# shellcheck disable=SC2086
out=$(clang-tidy --quiet "$@" -- -std=c11 $flags 2>&1)
status=$?
[ $status -eq 0 ] || printf '%s\n' "$out" | grep -v 'warnings generated'
exit $status
