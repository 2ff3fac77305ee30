#!/bin/bash
# Measures requests through entry and agent against direct calls to the backend
# stand-in, in one run.
# usage: tests/bench/path.sh BUILD_FOLDER
set -u
build=$1
work=$(mktemp -d)
host=127.$((1 + $$ / 62500 % 250)).$(($$ / 250 % 250)).$((1 + $$ % 250))
pids=()
cleanup() {
	kill "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT

launch() {
	"$@" >>"$work/log" 2>&1 &
	pids+=($!)
}
cat >"$work/entry.toml" <<T
role = "entry"
name = "e1"
region = "bench"
data_centre = "dc-a"
[http]
listen = "$host:20001"
[platform]
address = "$host:20000"
[link]
listen = "$host:20002"
T
launch "$build/gypsumnotchd" -s "$work/entry.toml"
entry=$!
for i in 1 2 3; do
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
T
	launch "$build/gypsumnotchd" -s "$work/w$i.toml"
	agent=$!
	launch "$build/tests/standin/backend" -l "$host:2200$i" -a "$host:2100$i"
done
for _ in $(seq 100); do
	[ "$(curl -s --noproxy '*' "http://$host:20001/v1/hosts" | grep -o '"state":"live"' | wc -l)" = 3 ] && break
	sleep 0.1
done

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
hz=$(getconf CLK_TCK)
entry_url=http://$host:20001/v1/services/planner/requests
load=$build/tests/bench/load
printf '%-28s %8s %9s %9s %9s %7s %7s\n' case per_s p50_ms p99_ms p99.9_ms count failed
before_e=$(cpu_ticks "$entry")
before_a=$(cpu_ticks "$agent")
"$load" --name "entry, 64 conn, repeatable" --url "$entry_url" -c 64 -n 100000 -H "Gypsumnotch-Repeatable: yes"
after_e=$(cpu_ticks "$entry")
after_a=$(cpu_ticks "$agent")
"$load" --name "entry, 64 conn, at most once" --url "$entry_url" -c 64 -n 50000
"$load" --name "direct, 64 conn" --url "http://$host:22001/v1/run" -c 64 -n 100000
for rate in 2500 5000; do
	"$load" --name "direct, $rate/s" --url "http://$host:22001/v1/run" -c 16 -n $((rate * 6)) -r $rate
	"$load" --name "entry, $rate/s, repeatable" --url "$entry_url" -c 16 -n $((rate * 6)) -r $rate -H "Gypsumnotch-Repeatable: yes"
	"$load" --name "entry, $rate/s, at most once" --url "$entry_url" -c 16 -n $((rate * 6)) -r $rate
done
echo "processor time per request: entry $(((after_e - before_e) * 1000000 / hz / 100000)) us, one of three agents $(((after_a - before_a) * 3000000 / hz / 100000)) us"
echo "memory: entry $(awk '/VmRSS/ {print $2}' /proc/"$entry"/status) kB, agent $(awk '/VmRSS/ {print $2}' /proc/"$agent"/status) kB"
