#!/bin/bash
# Measures memory, processor time and link traffic of idle processes: of an entry
# by its number of agents, and of an agent by its number of entries. The traffic
# includes 66 bytes of headers per segment and is read with ss (iproute2).
# usage: tests/bench/bench_idle.sh BUILD_FOLDER [SECONDS] [BEAT_MS]
set -u
build=$1
seconds=${2:-10}
beat_ms=${3:-500}
work=$(mktemp -d)
host=127.$((1 + $$ / 62500 % 250)).$(($$ / 250 % 250)).$((1 + $$ % 250))
pids=()

stop_all() {
	[ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
	pids=()
	sleep 0.5
}
trap 'stop_all; rm -rf "$work"' EXIT

launch() {
	"$@" >>"$work/log" 2>&1 &
	pids+=($!)
	launched=$!
	disown
}

start_platform() {
	launch "$build/tests/standin/platform" --listen "$host:20000"
}

start_entry() { # NUMBER
	cat >"$work/e$1.toml" <<-T
	role = "entry"
	name = "e$1"
	region = "bench"
	data_centre = "dc-a"
	[http]
	listen = "$host:$((20100 + $1))"
	[platform]
	address = "$host:20000"
	[link]
	listen = "$host:$((20200 + $1))"
	beat_interval_ms = $beat_ms
	beat_timeout_ms = $((4 * beat_ms))
	T
	launch "$build/gypsumnotchd" -s "$work/e$1.toml"
}

start_agent() { # NUMBER ENTRIES
	local entries
	entries=$(for i in $(seq "$2"); do printf '"%s:%d", ' "$host" $((20200 + i)); done)
	cat >"$work/w$1.toml" <<-T
	role = "agent"
	name = "w$1"
	region = "bench"
	data_centre = "dc-a"
	[http]
	listen = "$host:$((21000 + $1))"
	[link]
	entries = [${entries%, }]
	beat_interval_ms = $beat_ms
	beat_timeout_ms = $((4 * beat_ms))
	[worker]
	service = "planner"
	rack = "r$(($1 / 3))"
	max_tasks = 8
	max_connections = 64
	cores = 32
	memory_mb = 128000
	T
	launch "$build/gypsumnotchd" -s "$work/w$1.toml"
}

cpu_ns() { # PID
	cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%d", sum }'
}

memory() { # PID
	awk '/^VmRSS/ { printf "%d", $2 }' /proc/"$1"/status
}

# Prints the bytes on the wire of all links since they were opened.
link_bytes() {
	ss -tinH "src $host and sport >= 20201 and sport <= 20299" 2>/dev/null |
		grep -oE ' (bytes_sent|bytes_received|segs_out|segs_in):[0-9]+' |
		awk -F: '{ sum += $2 * ($1 ~ /^ segs/ ? 66 : 1) } END { printf "%d", sum }'
}

# Waits until the entry lists COUNT workers.
await_workers() { # ENTRY COUNT
	for _ in $(seq 300); do
		known=$(curl -s --noproxy '*' "http://$host:$((20100 + $1))/v1/hosts" |
			grep -o '"rack"' | wc -l)
		[ "$known" -ge "$2" ] && return
		sleep 0.1
	done
	echo "idle: entry $1 lists $known of $2 workers" >&2
}

measure() { # PID
	local cpu bytes
	sleep 3
	cpu=$(cpu_ns "$1")
	bytes=$(link_bytes)
	sleep "$seconds"
	cpu=$(($(cpu_ns "$1") - cpu))
	bytes=$(($(link_bytes) - bytes))
	echo "rss_kb=$(memory "$1") cpu_us_s=$((cpu / 1000 / seconds))" \
		"link_bytes_s=$((bytes / seconds))"
}

for agents in 0 1 11 50 150; do
	start_platform
	start_entry 1
	entry=$launched
	sleep 0.5
	for i in $(seq "$agents"); do start_agent "$i" 1; done
	[ "$agents" -eq 0 ] || await_workers 1 "$agents"
	echo "idle entry beat_ms=$beat_ms agents=$agents $(measure "$entry")"
	stop_all
done
for entries in 1 2 4 8; do
	start_platform
	for i in $(seq "$entries"); do start_entry "$i"; done
	sleep 0.5
	start_agent 1 "$entries"
	agent=$launched
	for i in $(seq "$entries"); do await_workers "$i" 1; done
	echo "idle agent beat_ms=$beat_ms entries=$entries $(measure "$agent")"
	stop_all
done
