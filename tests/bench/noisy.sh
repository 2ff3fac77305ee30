#!/bin/bash
# Measures a service that shares workers with noisy batch tasks, on separate
# processes: without interference control, and with it for two sets of weights.
# usage: tests/bench/noisy.sh BUILD_FOLDER
set -u
build=$1
work=$(mktemp -d)
host=127.$((1 + $$ / 62500 % 250)).$(($$ / 250 % 250)).$((1 + $$ % 250))
pids=()
rate=60
first_seconds=20
seconds=${SECONDS_EACH:-40}
target_ms=100

stop_all() {
	kill "${pids[@]}" 2>/dev/null
	wait "${pids[@]}" 2>/dev/null
	pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

launch() {
	"$@" >>"$work/log" 2>&1 &
	pids+=($!)
}
fetch() { curl -s -m 5 --noproxy '*' "$@"; }

start_all() { # INTERFERENCE_SETTINGS
	launch "$build/tests/standin/platform" --listen "$host:20000"
	cat >"$work/entry.toml" <<T
role = "entry"
name = "e1"
region = "bench"
data_centre = "dc-a"
[http]
listen = "$host:20001"
[platform]
address = "$host:20000"
calls_per_s = 200
lease_ttl_ms = 3000
[link]
listen = "$host:20002"
T
	launch "$build/gypsumnotchd" -s "$work/entry.toml"
	for i in 1 2; do
		cat >"$work/w$i.toml" <<T
role = "agent"
name = "w$i"
region = "bench"
data_centre = "dc-a"
[http]
listen = "$host:2100$i"
[link]
entries = ["$host:20002"]
[worker]
service = "planner"
rack = "r$i"
max_tasks = 8
max_connections = 64
cores = 32
memory_mb = 128000
$1
T
		launch "$build/gypsumnotchd" -s "$work/w$i.toml"
		launch "$build/tests/standin/backend" -l "$host:2200$i" -a "$host:2100$i"
	done
	for _ in $(seq 200); do
		[ "$(fetch "http://$host:20001/dump" | grep -o '"standing":1' | wc -l)" = 16 ] &&
			[ "$(fetch "http://$host:20001/v1/hosts" | grep -o '"state":"live"' | wc -l)" = 2 ] && break
		sleep 0.1
	done
	for i in 1 2; do
		fetch -o /dev/null --data-binary "$fault" "http://$host:2200$i/fault"
	done
}

submit() { # KIND COUNT
	for i in $(seq "$2"); do
		fetch -o /dev/null -H "Gypsumnotch-Class: batch" -H "Gypsumnotch-Team: t" -H "Gypsumnotch-Service: planner" \
			-H "Gypsumnotch-Kind: $1" --data-binary 600000 "http://$host:20001/v1/jobs"
	done
}

progress_ms() { # KIND: prints the progress of running tasks on both workers
	for i in 1 2; do fetch "http://$host:2200$i/v1/tasks"; done |
		jq -s "[.[].tasks[] | select(.kind == \"$1\" and .state == \"running\") | .progress_ms] | add // 0"
}

count_events() { # EVENT: counts it in the journals of both workers
	for i in 1 2; do fetch "http://$host:2200$i/v1/tasks/journal"; done | grep -c "^$1 "
}

load() { # NAME SECONDS
	"$build/tests/bench/load" --name "$1" --url "http://$host:20001/v1/services/planner/requests" \
		-c 32 -n $((rate * $2)) -r $rate
}

# The progress of evicted tasks that wait for a worker is unknown, so the progress
# columns are left out if there were evictions or stops.
measure() { # NAME FAULT INTERFERENCE_SETTINGS
	fault=$2
	start_all "$3"
	submit quiet 4
	submit noisy 6
	load "$1, first $first_seconds s" "$first_seconds"
	before="$(progress_ms quiet) $(progress_ms noisy)"
	load "$1, then" "$seconds" | tr -d '\n'
	echo "$before $(progress_ms quiet) $(progress_ms noisy) $(count_events checkpointed) $(count_events stopped)" |
		awk -v s="$seconds" '$5 + $6 { printf " %7s %7s %9d %5d\n", "-", "-", $5, $6; next }
			{ printf " %6.0f%% %6.0f%% %9d %5d\n", ($3 - $1) / (40 * s), ($4 - $2) / (60 * s), $5, $6 }'
	[ "${VERBOSE:-}" ] && for i in 1 2; do fetch "http://$host:2100$i/dump" | jq -c .interference; done
	stop_all
}

noise='"slow_ms": 20, "noisy_kind": "noisy", "noise_ms": 100'
tail_first="[interference]
target_ms = $target_ms
tail = 6
throughput = 1
evictions = 1"
work_first="[interference]
target_ms = $target_ms
tail = 1
throughput = 3
evictions = 4"
printf '%-28s %8s %9s %9s %9s %7s %7s %7s %7s %9s %5s\n' case per_s p50_ms p99_ms p99.9_ms count failed quiet noisy evictions stops
measure "off" "{$noise}" ""
measure "6:1:1" "{$noise}" "$tail_first"
measure "1:3:4" "{$noise}" "$work_first"
measure "6:1:1 no throttle" "{$noise, \"unthrottled\": true}" "$tail_first"
