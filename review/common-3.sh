# Shared by the scripts of the third review: a small deployment on loopback
# addresses, with settings as the templates in platform/ have them.
#
# A script sets SCHEDULERS and WORKERS, then calls setup, and says what was broken
# with broken, or ends with finish.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
daemon=$root/target/gypsumnotchd
stand=$root/target/review/stand-3
store=$root/target/platform/soak/store
TROUBLE=${TROUBLE:-1}
SCHEDULERS=${SCHEDULERS:-3}
WORKERS=${WORKERS:-3}
record=$here/record.txt
host=nony24.example
declare -A pids

fail_to_run() {
	echo "cannot run: $*" | tee -a "$record"
	exit 2
}

say() {
	echo "$("$stand" now) $*" | tee -a "$record"
}

# Ends only the processes that this script has started.
clean_up() {
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$folder" "${ports_lock:-}"
}

is_free() {
	! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Sets base to the first of 400 ports of which those in use are free.
choose_ports() {
	for _ in $(seq 50); do
		base=$((12000 + RANDOM % 45 * 400))
		for i in $(seq 0 10 $((10 * (1 + SCHEDULERS + WORKERS)))); do
			for k in 0 1 2 3; do
				is_free $((base + i + k)) || continue 3
			done
		done
		# Another script may look for ports in the same moment.
		ports_lock=${TMPDIR:-/tmp}/review-3-ports-$base
		mkdir "$ports_lock" 2>/dev/null && return
		ports_lock=
	done
	fail_to_run "no free ports"
}

front() { echo "127.0.0.1:$((base + 10 * $1))"; }
scheduler_port() { echo $((base + 10 * $1 + $2)); }
worker_port() { echo $((base + 10 * (SCHEDULERS + $1) + $2)); }

# start NAME COMMAND...: starts a process and keeps its ID under NAME.
start() {
	local name=$1
	shift
	"$@" >>"$folder/$name.log" 2>&1 &
	pids[$name]=$!
}

write_scheduler_settings() {
	cat >"$folder/scheduler-$1.toml" <<-END
		role = "scheduler"
		name = "front-$1"
		region = "r"
		data_centre = "z$(($1 % 3))"
		stop_grace_s = 6
		[http]
		listen = "127.0.0.1:$(scheduler_port "$1" 0)"
		readiness = "127.0.0.1:$(scheduler_port "$1" 1)"
		timeout_ms = 15000
		connections = 2000
		[link]
		listen = "127.0.0.1:$(scheduler_port "$1" 2)"
		[metrics]
		listen = "127.0.0.1:$(scheduler_port "$1" 3)"
		[platform]
		address = "127.0.0.1:$base"
		calls_per_s = 400
		lease_ttl_ms = 1000
		[jobs]
		lease_max_ms = 10000
		retain_s = 120
		stop_ms = 400
		early_ms = 250
		far_factor = 1.5
		restore_ms = 100
		harm_ms = 4000
		pace_ms = 100
		notice_ms = 4500
		configuration_ms = 2000
		cores = 0.25
		link_mbps = 1000.0
	END
}

write_executor_settings() {
	cat >"$folder/executor-$1.toml" <<-END
		role = "executor"
		name = "side-$1"
		region = "r"
		data_centre = "z$(($1 % 3))"
		stop_grace_s = 6
		[http]
		listen = "127.0.0.1:$(worker_port "$1" 0)"
		[metrics]
		listen = "127.0.0.1:$(worker_port "$1" 2)"
		[platform]
		address = "127.0.0.1:$base"
		[jobs]
		worker = "127.0.0.1:$(worker_port "$1" 1)"
		lease_max_ms = 10000
	END
}

start_scheduler() {
	start "scheduler-$1" "$daemon" --settings "$folder/scheduler-$1.toml"
}

start_executor() {
	start "executor-$1" "$daemon" --settings "$folder/executor-$1.toml"
}

# start_worker N ID [OPTION...]
start_worker() {
	local n=$1
	local id=$2
	shift 2
	start "worker-$n" "$stand" worker --port "$(worker_port "$n" 1)" \
		--id "$id" --beat "127.0.0.1:$(worker_port "$n" 0)" \
		--zone "z$((n % 3))" --rack "r$n" \
		--journal "$folder/journal" "$@"
}

# send METHOD SCHEDULER PATH [BODY]: prints status and body, and records them.
send() {
	local answer

	answer=$("$stand" call "$1" "$(front "$2")" "$host" "$3" "${4:-}")
	say "client: $1 $3 at front-$2 ${4:-} -> $answer" >/dev/null
	echo "$answer"
}

# Further options of worker N; a script may define its own.
worker_options() { :; }

write_config() {
	"$stand" call PUT "127.0.0.1:$base" store "/operator?Key=op/config" \
		"$1" >/dev/null
	say "operator: op/config $1" >/dev/null
}

# Configuration of one queue, /q/, for the service s.
config='{"Version":7,"Routes":[{"Name":"q","Host":"nony24.example","Prefix":"/q/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":2500,"Priority":0,"Service":"s","MaxAttempts":4,"Stretch":2.2}],"Services":[{"Name":"s","RejectsOverload":true,"Standby":false}],"Limits":{}}'

# Waits until the system accepts a request for a job that does not exist.
await_system() {
	for _ in $(seq 100); do
		case $("$stand" call GET "$(front 1)" "$host" \
			/q/00000000000000ff) in
		410*) return ;;
		esac
		sleep 0.1
	done
	fail_to_run "the system is not ready"
}

setup() {
	: >"$record"
	for program in "$daemon" "$stand" "$store"; do
		[ -x "$program" ] || fail_to_run "$program is missing"
	done
	folder=$(mktemp -d)
	trap clean_up EXIT
	: >"$folder/journal"
	choose_ports
	start store "$store" --port "$base"
	sleep 0.3
	write_config "$config"
	for i in $(seq "$SCHEDULERS"); do
		write_scheduler_settings "$i"
		start_scheduler "$i"
	done
	for i in $(seq "$WORKERS"); do
		write_executor_settings "$i"
		start_executor "$i"
		# shellcheck disable=SC2046,SC2086
		start_worker "$i" "i-$i" ${WORKER_OPTIONS:-} $(worker_options "$i")
	done
	await_system
	sleep 1.5
}

# Appends what the workers have run, and keeps the logs if KEEP names a folder.
finish() {
	echo "what the workers have run (ms, worker, event, task, attempt, detail):" \
		>>"$record"
	cat "$folder/journal" >>"$record"
	[ -z "${KEEP:-}" ] || { mkdir -p "$KEEP" && cp "$folder"/* "$KEEP"; }
	if [ "$1" -eq 1 ]; then
		say "broken: $2"
	else
		say "held"
	fi
	exit "$1"
}
