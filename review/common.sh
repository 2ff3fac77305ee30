# Functions of the scripts in this folder; to be sourced from the repository root.
#
# A deployment is a store, SCHEDULERS schedulers and EXECUTORS executors with one
# worker each, on loopback addresses. The settings are the templates of the deploy
# file, filled in with the figures of site graenbylgja-sched. Schedulers are
# reached at their Front addresses; the host and paths below are those of the
# configuration that start_all writes.

HOST=nony24.example
TROUBLE=${TROUBLE:-1}
zones=(reykjavik-a hafnarfjordur-b keflavik-c)
work=$(mktemp -d)
record=$here/record.txt
began_ms=$(date +%s%3N)
declare -A pids
: >"$record"

say() { # what happens, with the time in seconds
	printf '%8.3f %s\n' "$(($(date +%s%3N) - began_ms))e-3" "$*" >>"$record"
}

end_all() {
	local name
	for name in "${!pids[@]}"; do
		kill -CONT "${pids[$name]}" 2>/dev/null
		kill -KILL "${pids[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	{
		echo
		echo "what the workers saw (ms since 1970, worker, event, task, attempt, detail):"
		cat "$work"/journal 2>/dev/null
	} >>"$record"
	[ -n "${KEEP:-}" ] && echo "logs in $work" || rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
	say "cannot run: $*"
	exit 2
}

finish() { # finish 0|1 TEXT
	say "$2"
	echo "$2"
	exit "$1"
}

is_free() { ! (: <"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

find_ports() { # sets base: a block of free ports below the ephemeral ones
	local try port
	for try in {1..50}; do
		base=$((12000 + RANDOM % 180 * 100))
		for port in $(seq "$base" $((base + 99))); do
			is_free "$port" || continue 2
		done
		return
	done
	cannot_run "no free ports"
}

spawn() { # spawn NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids[$name]=$!
	disown
}

end_process() { # end_process NAME SIGNAL
	kill "-$2" "${pids[$1]}" 2>/dev/null
	[ "$2" != KILL ] || unset "pids[$1]"
}

# Ports: the store has the first; each other process has ten from base + 10 * N.
front() { echo "127.0.0.1:$((base + 10 * $1))"; }
control() { echo "127.0.0.1:$((base + 10 * (SCHEDULERS + $1)))"; }
app() { echo "127.0.0.1:$((base + 10 * (SCHEDULERS + $1) + 5))"; }
app_port() { echo $((base + 10 * (SCHEDULERS + $1) + 5)); }

render() { # render TEMPLATE NAME ZONE PORT APP
	sed -e '/{{#Bounds.EvacMs}}/,/{{\/Bounds.EvacMs}}/d' \
		-e '/{{#Advice}}/,/{{\/Advice}}/d' -e '/{{[#/]/d' \
		-e "s/{{NodeName}}/$2/; s/{{Zone}}/$3/; s/{{Region}}/is-sudvestur/" \
		-e "s/{{Listen.Front}}/127.0.0.1:$4/" \
		-e "s/{{Listen.Readiness}}/127.0.0.1:$(($4 + 1))/" \
		-e "s/{{Listen.Control}}/127.0.0.1:$4/" \
		-e "s/{{Ip}}:{{PortRange.0}}/127.0.0.1:$(($4 + 2))/" \
		-e "s/{{Ip}}:{{PortRange.1}}/127.0.0.1:$(($4 + 3))/" \
		-e "s/{{platform.Address}}/127.0.0.1:${store_port:-$base}/; s/{{app}}/$5/" \
		-e 's/{{platform.WritesPerS}}/400/; s/{{platform.TtlMinMs}}/1000/' \
		-e 's/{{Bounds.GraceS}}/6/; s/{{Bounds.HoldMaxMs}}/10000/' \
		-e 's/{{Bounds.status_s}}/120/; s/{{Bounds.StopTimeoutMs}}/400/' \
		-e 's/{{Bounds.early_ms}}/250/; s/{{Bounds.FarFactor}}/1.5/' \
		-e 's/{{Bounds.RestoreMs}}/100/; s/{{Bounds.HarmMs}}/4000/' \
		-e 's/{{Bounds.PaceMs}}/100/; s/{{Bounds.NoticeMs}}/4500/' \
		-e 's/{{Bounds.ConfigApplyMs}}/2000/' \
		-e 's/{{Limits.CpuShare}}/0.25/; s/{{Limits.LinkMbps}}/1000/' "$1"
}

start_scheduler() { # start_scheduler N
	local zone=${zones[$((($1 - 1) % 3))]}
	render platform/scheduler.toml.in "front-$zone-$1" "$zone" \
		$((base + 10 * $1)) - >"$work/scheduler-$1.toml"
	spawn "scheduler-$1" target/gypsumnotchd --settings "$work/scheduler-$1.toml"
}

start_executor() { # start_executor N
	local zone=${zones[$((($1 - 1) % 3))]}
	render platform/executor.toml.in "side-$zone-$1" "$zone" \
		$((base + 10 * (SCHEDULERS + $1))) "$(app "$1")" \
		>"$work/executor-$1.toml"
	spawn "executor-$1" target/gypsumnotchd --settings "$work/executor-$1.toml"
}

worker_lives=0
start_worker() { # start_worker N [OPTION...]: each start is a new life with a new ID
	local number=$1
	shift
	worker_lives=$((worker_lives + 1))
	spawn "worker-$number" target/review/worker --port "$(app_port "$number")" \
		--beat "$(control "$number")" \
		--id "$(printf 'i-%d%07x' "$number" $worker_lives)" \
		--zone "${zones[$(((number - 1) % 3))]}" --journal "$work/journal" "$@"
}

call() { # call METHOD SCHEDULER PATH [BODY-FILE [PATIENCE-MS]] -> status and body
	target/review/call "$1" "$(front "$2")" "$3" "$HOST" "${4:-}" ${5:-}
}

put_config() { # put_config VERSION
	cat >"$work/config" <<-END
	{"Version":$1,"Routes":[
	{"Name":"r-quick","Host":"$HOST","Prefix":"/quick/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":0,"Service":"huvo11a","MaxAttempts":3,"Stretch":1.5},
	{"Name":"r-large","Host":"$HOST","Prefix":"/large/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":2,"Service":"huvo11a","MaxAttempts":4,"Stretch":2.0},
	{"Name":"r-listen","Host":"$HOST","Prefix":"/listen/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":2500,"Priority":0,"Service":"huvo11a","MaxAttempts":4,"Stretch":2.2}],
	"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":false}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
	END
	target/review/call PUT "127.0.0.1:$base" "/operator?Key=op/config" store "$work/config"
}

start_all() { # starts everything but the workers
	local number
	[ -x target/gypsumnotchd ] && [ -x target/platform/soak/store ] &&
		[ -x target/review/worker ] && [ -x target/review/call ] ||
		cannot_run "not built"
	find_ports
	spawn store target/platform/soak/store --port "$base"
	for number in {1..50}; do
		is_free "$base" || break
		sleep 0.1
	done
	if [ -n "${GATE:-}" ]; then # the processes reach the store through it
		store_port=$((base + 1))
		spawn gate target/review/gate "$store_port" "$base"
	fi
	[[ $(put_config 7) == 200* ]] || cannot_run "the store takes no configuration"
	for number in $(seq "$SCHEDULERS"); do start_scheduler "$number"; done
	for number in $(seq "$EXECUTORS"); do start_executor "$number"; done
}

await_workers() { # waits until a job has run on the deployment
	local try id
	for try in {1..40}; do
		id=$(printf '%016x' $((0xfeed0000 + try)))
		echo '{"Spec":"ms=50 cpu=100","Steps":[{"Count":1,"Cpu":100,"MemMb":16,"EstimateMs":50}]}' >"$work/first"
		call POST 1 "/quick/$id" "$work/first" >/dev/null
		sleep 0.4
		case $(call GET 1 "/quick/$id") in *completed*) return ;; esac
	done
	cannot_run "the deployment does not run a job"
}

state() { # state SCHEDULER PATH -> the word, or the status
	local answer
	answer=$(call GET "$1" "$2")
	case $answer in
	200*) echo "$answer" | sed 's/.*"State":"\([a-z]*\)".*/\1/' ;;
	*) echo "${answer%% *}" ;;
	esac
}
