# Functions for the scripts of the second review. A script sets the variable
# "folder" to its own folder and sources this file; it is run with bash from
# anywhere. Everything that is started runs on 127.0.0.1, with settings as the
# templates of the deploy file give them for graenbylgja-sched.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
daemon=$root/target/gypsumnotchd
standins=$root/target/platform/soak
trouble=${TROUBLE:-1}
record=$folder/record.txt
work=$(mktemp -d)
journal=$work/journal
declare -A pids=()
: >"$record"
: >"$journal"

# Bounds of graenbylgja-sched, ms.
contact_ms=3000
config_apply_ms=2000
finish_ms=14000

now_us() { awk '{ printf "%.0f\n", $1 * 1000000 }' /proc/uptime; }
wall_ms() { date +%s%3N; }
note() { printf '%s %s\n' "$(now_us)" "$*" | tee -a "$record"; }

end_all() {
	local pid

	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
	[ -z "${ports_lock:-}" ] || rmdir "$ports_lock"
	if [ "${KEEP:-0}" = 1 ]; then
		echo "logs are kept in $work"
	else
		rm -rf "$work"
	fi
}
trap end_all EXIT

# The case could not be run.
give_up() {
	note "could not run: $*"
	exit 2
}

# Ends the script: 1 if the rule was broken, 0 if it held.
finish() {
	{
		echo "--- what the workers noted: time (us), worker, event, task, attempt, detail"
		cat "$journal"
	} >>"$record"
	if [ "$1" -ne 0 ]; then
		note "the rule was broken: $2"
		exit 1
	fi
	note "the rule held: $2"
	exit 0
}

# ======   Ports   ======

is_port_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sets "base" to the first of 100 free ports below the ephemeral ones.
find_ports() {
	local port
	local attempt

	for attempt in {1..50}; do
		base=$((12000 + RANDOM % 180 * 100))
		# Keeps a second script from taking the same ports.
		mkdir "/tmp/review-2-ports-$base" 2>/dev/null || continue
		ports_lock=/tmp/review-2-ports-$base
		for ((port = base; port < base + 100; port++)); do
			is_port_free "$port" && continue
			rmdir "$ports_lock"
			ports_lock=
			continue 2
		done
		return
	done
	give_up "no free ports"
}

store_port() { echo "$base"; }
front_port() { echo $((base + 4 + 4 * $1)); }
link_port() { echo $((base + 6 + 4 * $1)); }
control_port() { echo $((base + 40 + 4 * $1)); }
worker_port() { echo $((base + 42 + 4 * $1)); }

# ======   Processes   ======

start() { # NAME COMMAND...
	local name=$1

	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids[$name]=$!
}

kill_process() { # NAME
	kill -KILL "${pids[$1]}"
	wait "${pids[$1]}" 2>/dev/null
	unset "pids[$1]"
}

start_store() { start store "$standins/store" --port "$(store_port)"; }

start_scheduler() { # NUMBER
	cat >"$work/scheduler-$1.toml" <<-END
		role = "scheduler"
		name = "front-reykjavik-a-$1"
		region = "r"
		data_centre = "z"
		stop_grace_s = 6
		[http]
		listen = "127.0.0.1:$(front_port "$1")"
		readiness = "127.0.0.1:$(($(front_port "$1") + 1))"
		timeout_ms = 15000
		connections = 2000
		[link]
		listen = "127.0.0.1:$(link_port "$1")"
		[metrics]
		listen = "127.0.0.1:$(($(front_port "$1") + 3))"
		[platform]
		address = "127.0.0.1:$(store_port)"
		calls_per_s = 400
		lease_ttl_ms = 1000
		[jobs]
		lease_max_ms = 10000
		retain_s = 120
		stop_ms = 500
		early_ms = 250
		far_factor = 1.5
		restore_ms = 100
		harm_ms = 4000
		pace_ms = 100
		notice_ms = 4500
		configuration_ms = $config_apply_ms
		cores = 0.25
		link_mbps = 1000.0
	END
	start "scheduler-$1" "$daemon" --settings "$work/scheduler-$1.toml"
}

start_executor() { # NUMBER
	cat >"$work/executor-$1.toml" <<-END
		role = "executor"
		name = "side-hafnarfjordur-b-$1"
		region = "r"
		data_centre = "z"
		stop_grace_s = 6
		[http]
		listen = "127.0.0.1:$(control_port "$1")"
		[metrics]
		listen = "127.0.0.1:$(($(control_port "$1") + 1))"
		[platform]
		address = "127.0.0.1:$(store_port)"
		[jobs]
		worker = "127.0.0.1:$(worker_port "$1")"
		lease_max_ms = 10000
	END
	start "executor-$1" "$daemon" --settings "$work/executor-$1.toml"
}

# A worker's ID is this and its number.
worker_id=i-7f3a91c

start_worker() { # NUMBER
	start "worker-$1" "$standins/worker" --port "$(worker_port "$1")" \
		--beat "127.0.0.1:$(control_port "$1")" --id "$worker_id$1" --zone z \
		--journal "$journal" --late 0 --seed "$1" --guards
}

# Starts the store, schedulers and workers, and waits until they have been
# undisturbed for a while. A worker has 4 cores.
start_system() { # SCHEDULERS WORKERS CONFIGURATION
	local i

	for i in "$daemon" "$standins/store" "$standins/worker"; do
		[ -x "$i" ] || give_up "$i is not built"
	done
	find_ports
	start_store
	sleep 0.3
	put_config "$3"
	for ((i = 0; i < $1; i++)); do
		start_scheduler "$i"
	done
	for ((i = 0; i < $2; i++)); do
		start_executor "$i"
		start_worker "$i"
	done
	sleep 2
	for ((i = 0; i < $2; i++)); do
		call "$(worker_port "$i")" POST /calm '{}' >/dev/null
	done
	sleep 3
}

# ======   Calls   ======

# Time for which a client waits for an answer, s.
patience_s=4

# Prints the status and the body of the answer, "0" without an answer.
call() { # PORT METHOD PATH BODY
	local answer

	answer=$(
		exec 2>/dev/null
		exec 3<>"/dev/tcp/127.0.0.1/$1" || exit
		printf '%s %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
			"$2" "$3" "${#4}" "$4" >&3
		timeout $patience_s cat <&3
	)
	answer=${answer//$'\r'/}
	set -- "${answer%%$'\n'*}" "${answer##*$'\n'}"
	[[ $1 =~ ^HTTP/1.1\ ([0-9]+) ]] && echo "${BASH_REMATCH[1]} $2" || echo 0
}

put_config() { # TEXT
	local answer

	answer=$(call "$(store_port)" PUT "/operator?Key=op/config" "$1")
	note "operator: op/config $1 -> $answer"
	[[ $answer == 200* ]] || give_up "the store takes no configuration"
}

client() { # SCHEDULER METHOD PATH [BODY]
	answer=$(call "$(front_port "$1")" "$2" "$3" "${4:-}")
	note "client: $2 $3 ${4:-} -> $answer"
}

# Submits a job as a client does, which repeats a request without an answer.
submit() { # PATH BODY
	local attempt

	for attempt in {1..5}; do
		client $((attempt % 3)) POST "$1" "$2"
		[[ $answer == 2* ]] && return
		sleep 1
	done
	give_up "the job was not accepted"
}

# Prints the number of the scheduler that leads; waits for one for a while.
find_leader() {
	local answer
	local text
	local i

	for _ in {1..20}; do
		answer=$(call "$(store_port)" GET "/kv-key?Key=gn/live/leader" "")
		if [[ $answer =~ \"Value\":\ *\"([^\"]*)\" ]]; then
			text=$(echo "${BASH_REMATCH[1]}" | base64 -d)
			for i in 0 1 2; do
				[[ $text == *":$(link_port "$i")" ]] || continue
				echo "$i"
				return
			done
		fi
		sleep 0.1
	done
}

# ======   Journal   ======

count_starts() { # TASK
	awk -v task="$1" '$3 == "start" && $4 == task' "$journal" | wc -l
}

count_done() { # TASK
	awk -v task="$1" '$3 == "end" && $4 == task && $6 == "done"' "$journal" | wc -l
}

# Prints the longest time in ms for which two runs of a task overlapped, on
# workers that were up all the while.
get_overlap_ms() { # TASK
	awk -v task="$1" -v now="$(now_us)" '
		$4 != task { next }
		$3 == "start" { n++; begin[n] = $1; key[n] = $2 " " $5; end[n] = now }
		$3 == "end" {
			for (i = 1; i <= n; i++)
				if (key[i] == $2 " " $5 && end[i] == now)
					end[i] = $1
		}
		END {
			for (i = 1; i <= n; i++)
				for (k = i + 1; k <= n; k++) {
					from = begin[i] > begin[k] ? begin[i] : begin[k]
					to = end[i] < end[k] ? end[i] : end[k]
					if (to - from > most)
						most = to - from
				}
			printf "%.0f\n", most / 1000
		}' "$journal"
}

count_starts_of_job() { # JOB
	awk -v job="$1." '$3 == "start" && index($4, job) == 1' "$journal" | wc -l
}

count_ends_of_job() { # JOB HOW
	awk -v job="$1." -v how="$2" \
		'$3 == "end" && index($4, job) == 1 && $6 == how' "$journal" |
		wc -l
}

# ======   Memory   ======

# What a front machine of graenbylgja-sched has.
memory_mb=260
declare -A kills=()

# Does the platform's part: a process that exceeds its memory is killed, and
# started again after a short delay.
check_memory() { # SCHEDULERS
	local name
	local kb
	local i

	for ((i = 0; i < $1; i++)); do
		name=scheduler-$i
		if [ -z "${pids[$name]:-}" ]; then
			[ "$(now_us)" -lt "${starts_us[$name]}" ] && continue
			start_scheduler "$i"
			continue
		fi
		kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/${pids[$name]}/status" 2>/dev/null)
		[ "${kb:-0}" -gt $((memory_mb * 1024)) ] || continue
		note "$name uses $kb KB, more than $memory_mb MB, and is killed"
		kill_process "$name"
		kills[$name]=$((${kills[$name]:-0} + 1))
		starts_us[$name]=$(($(now_us) + 500000))
	done
}
declare -A starts_us=()

watch_memory() { # SCHEDULERS SECONDS
	local end_us=$(($(now_us) + $2 * 1000000))

	while [ "$(now_us)" -lt "$end_us" ]; do
		check_memory "$1"
		sleep 0.05
	done
}
