#!/bin/bash
# Runs a scenario with separate processes and compares its output with the
# expected text in the scenario. docs/SCENARIOS.md describes the language.
# usage: tests/scenario.sh BUILD_FOLDER FILE.scn
set -u
build=$1
file=$2
name=$(basename "$file" .scn)
work=$(mktemp -d)
work_root=$work
# Each run uses its own loopback address, so that concurrent runs don't collide.
host=127.$((1 + $$ / 62500 % 250)).$(($$ / 250 % 250)).$((1 + $$ % 250))
declare -A pid http link job via extra
next=0
beat_timeout_ms=1500
last_status=0

cleanup() {
	for p in "${pid[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ "${KEEP:-}" ] && cp -r "$work" "$KEEP"
	rm -rf "$work"
}
trap cleanup EXIT

# Sets new_address to an address that nothing uses yet.
allot_address() {
	next=$((next + 1))
	new_address=$host:$((20000 + next))
}

launch() { # NAME PROGRAM ARGS...: starts a process and logs to NAME.log
	local key=$1
	shift
	"$@" >>"$work/$key.log" 2>&1 &
	pid[$key]=$!
}

cmd_platform() {
	[ "${http[platform]:-}" ] || { allot_address; http[platform]=$new_address; }
	launch platform "$build/tests/standin/platform" --listen "${http[platform]}"
}

# relay NAME platform|ENTRY.link|ENTRY.http|WORKER.backend: starts a relay to the
# target, which processes that are started later use. tests/standin/relay.c
# describes its faults.
cmd_relay() {
	local key=$1 target=$2 to=
	allot_address
	via[$target]=$new_address
	allot_address
	http[$key]=$new_address
	case $target in
	platform)
		[ "${http[platform]:-}" ] || { allot_address; http[platform]=$new_address; }
		to=${http[platform]}
		;;
	*.http)
		target=${target%.http}
		[ "${http[$target]:-}" ] || { allot_address; http[$target]=$new_address; allot_address; link[$target]=$new_address; }
		to=${http[$target]}
		;;
	*.link) to=${link[${target%.link}]} ;;
	*.backend)
		target=${target%.backend}
		[ "${http[$target]:-}" ] || { allot_address; http[$target]=$new_address; allot_address; http[$target.backend]=$new_address; }
		to=${http[$target.backend]}
		;;
	esac
	launch "$key" "$build/tests/standin/relay" --listen "${via[$2]}" --to "$to" --control "${http[$key]}"
}

# beat_timeout MS: sets beat_timeout_ms of processes that are started later
cmd_beat_timeout() { beat_timeout_ms=$1; }

# silent RELAY: prints the number of open connections that carry no more data
cmd_silent() { fetch "http://${http[$1]}/connections" | jq .silent; }

# entry NAME DATA_CENTRE: starts an entry
cmd_entry() {
	local key=$1 dc=$2
	shift 2
	[ "${http[$key]:-}" ] || { allot_address; http[$key]=$new_address; allot_address; link[$key]=$new_address; }
	[ "${http[platform]:-}" ] || { allot_address; http[platform]=$new_address; }
	cat >"$work/$key.toml" <<-T
	role = "entry"
	name = "$key"
	region = "test"
	data_centre = "$dc"
	stop_grace_ms = 10000
	[http]
	listen = "${http[$key]}"
	advertise = "${via[$key.http]:-${http[$key]}}"
	timeout_ms = 3000
	[platform]
	address = "${via[platform]:-${http[platform]}}"
	calls_per_s = 200
	lease_ttl_ms = 3000
	[link]
	listen = "${link[$key]}"
	beat_interval_ms = 100
	beat_timeout_ms = $beat_timeout_ms
	T
	launch "$key" "$build/gypsumnotchd" --settings "$work/$key.toml"
}

# worker NAME DATA_CENTRE SERVICE ENTRY...: starts an agent and its backend server
cmd_worker() {
	cmd_agent "$@"
	cmd_backend "$1"
}

# settings NAME TEXT: adds settings to an agent that is started later
cmd_settings() { extra[$1]=$2; }

cmd_agent() {
	local key=$1 dc=$2 service=$3 list= e
	shift 3
	[ "${http[$key]:-}" ] || { allot_address; http[$key]=$new_address; allot_address; http[$key.backend]=$new_address; }
	for e in "$@"; do
		list="$list${list:+, }\"${via[$e.link]:-${link[$e]}}\""
	done
	[ -s "$work/$key.toml" ] || cat >"$work/$key.toml" <<-T
	role = "agent"
	name = "$key"
	region = "test"
	data_centre = "$dc"
	stop_grace_ms = 10000
	[http]
	listen = "${http[$key]}"
	timeout_ms = 3000
	[link]
	entries = [$list]
	beat_interval_ms = 100
	beat_timeout_ms = $beat_timeout_ms
	[worker]
	service = "$service"
	rack = "rack-$key"
	max_tasks = 8
	max_connections = 64
	cores = 32
	memory_mb = 128000
	$(printf '%b' "${extra[$key]:-}")
	T
	launch "$key" "$build/gypsumnotchd" --settings "$work/$key.toml"
}

cmd_backend() {
	launch "$1.backend" "$build/tests/standin/backend" --listen "${http[$1.backend]}" --agent "${http[$1]}" \
		${via[$1.backend]:+--announce "${via[$1.backend]}"}
}

# workers COUNT PREFIX SERVICE ENTRY...: starts workers in three data centres
cmd_workers() {
	local i dcs=(dc-a dc-b dc-c)
	for i in $(seq "$1"); do
		cmd_worker "$2$i" "${dcs[$((i % 3))]}" "${@:3}"
	done
}

# replace OLD NEW DATA_CENTRE SERVICE ENTRY...: kills the agent and the backend
# server of OLD and starts NEW at its addresses
cmd_replace() {
	local old=$1
	shift
	cmd_kill "$old"
	cmd_kill "$old.backend"
	http[$1]=${http[$old]}
	http[$1.backend]=${http[$old.backend]}
	cmd_worker "$@"
}

cmd_restart() { # AGENT: starts an agent again that was stopped or killed
	launch "$1" "$build/gypsumnotchd" --settings "$work/$1.toml"
}

fetch() { curl -s -m 20 --noproxy '*' "$@"; }

# wait_workers ENTRY COUNT: waits until the entry has COUNT live workers
cmd_wait_workers() {
	for _ in $(seq 300); do
		[ "$(fetch "http://${http[$1]}/v1/hosts" | grep -o '"state":"live"' | wc -l)" = "$2" ] && return
		sleep 0.1
	done
	echo "no $2 live workers at $1"
}

cmd_workers_live() { fetch "http://${http[$1]}/v1/hosts" | grep -o '"state":"live"' | wc -l; }

cmd_wait_up() {
	for _ in $(seq 300); do
		fetch -o /dev/null "http://${http[$1]}/" && return
		sleep 0.1
	done
	echo "$1 is not up"
}

# request ENTRY SERVICE BODY [HEADER...]: prints the status, the outcome, and the
# body or the reason
cmd_request() {
	local e=$1 service=$2 body=$3 args=() h work
	work=$(mktemp -d -p "$work_root")
	shift 3
	for h in "$@"; do args+=(-H "$h"); done
	fetch -D "$work/head" -o "$work/body" "${args[@]}" --data-binary "$body" \
		"http://${http[$e]}/v1/services/$service/requests"
	last_status=$?
	local status outcome reason retry
	status=$(awk 'NR==1 {print $2}' "$work/head" 2>/dev/null)
	outcome=$(tr -d '\r' <"$work/head" | sed -n 's/^Gypsumnotch-Outcome: //p')
	reason=$(tr -d '\r' <"$work/head" | sed -n 's/^Gypsumnotch-Reason: //p')
	retry=$(grep -qi '^Retry-After: [0-9]' "$work/head" && echo " retry-after")
	if [ "$outcome" = done ]; then
		echo "$status $outcome $(cat "$work/body")"
	else
		echo "$status $outcome $reason$retry"
	fi
	rm -rf "$work"
}

# requests ENTRY SERVICE COUNT PREFIX [HEADER...]: sends requests one by one and
# prints how often each answer came
cmd_requests() {
	local e=$1 service=$2 count=$3 prefix=$4 i
	shift 4
	for i in $(seq "$count"); do
		cmd_request "$e" "$service" "$prefix$i" "$@"
	done | sed "s/$prefix[0-9]*\$/$prefix*/" | sort | uniq -c | sed 's/^ *//'
}

# crowd ENTRY SERVICE COUNT PREFIX [HEADER...]: like requests, but concurrently
cmd_crowd() {
	local e=$1 service=$2 count=$3 prefix=$4 i
	shift 4
	{
		for i in $(seq "$count"); do
			cmd_request "$e" "$service" "$prefix$i" "$@" &
		done
		wait
	} | sed "s/$prefix[0-9]*\$/$prefix*/" | sort | uniq -c | sed 's/^ *//'
}

# load ENTRY SERVICE PER_S COUNT: sends requests at this rate, or more slowly if 16
# concurrent requests are outstanding, and prints how many were answered
cmd_load() {
	"$build/tests/bench/load" --name load -c 16 -r "$3" -n "$4" \
		--url "http://${http[$1]}/v1/services/$2/requests" | awk '{ print $6 - $7 " of " $6 " answered" }'
}

# timely ENTRY SERVICE COUNT MS: sends requests one by one and prints whether 90%
# of them were answered within MS, and if not, how many were
cmd_timely() {
	local i spent in_time=0
	for i in $(seq "$3"); do
		spent=$(fetch -o /dev/null -w '%{http_code} %{time_total}' --data-binary "timely$i" \
			"http://${http[$1]}/v1/services/$2/requests")
		awk -v ms="$4" '{ exit !($1 == 200 && $2 * 1000 <= ms) }' <<<"$spent" && in_time=$((in_time + 1))
	done
	[ $((in_time * 10)) -ge $(($3 * 9)) ] && echo yes || echo "no: $in_time of $3"
}

# background VERB...: runs VERB in the background; "join" waits for it and prints
# its output
cmd_background() {
	("cmd_$1" "${@:2}" >"$work/background.out") &
	pid[background]=$!
}
cmd_join() {
	wait "${pid[background]}"
	cat "$work/background.out"
}

cmd_fault() { # NAME JSON: sets faults of a stand-in
	fetch -o /dev/null --data-binary "$2" "http://${http[$1]}/fault"
}
cmd_announce() { # AGENT JSON: prints the status and the reason
	local status
	status=$(fetch -o "$work/answer" -w '%{http_code}' --data-binary "$2" "http://${http[$1]}/v1/announce")
	echo "$status $(jq -r '.reason // "accepted"' "$work/answer")"
}
cmd_drain_backend() { fetch -o /dev/null -X POST "http://${http[$1.backend]}/drain"; }
cmd_kill() { kill -KILL "${pid[$1]}"; wait "${pid[$1]}" 2>/dev/null; }
cmd_freeze() { kill -STOP "${pid[$1]}"; }
cmd_thaw() { kill -CONT "${pid[$1]}"; }
cmd_stop() { kill -TERM "${pid[$1]}"; }
cmd_wait_exit() { wait "${pid[$1]}"; echo "exit $?"; }
cmd_sleep() { sleep "$1"; }

# repeat COUNT SECONDS VERB...: runs VERB COUNT times, each followed by a pause
cmd_repeat() {
	local _
	for _ in $(seq "$1"); do
		"cmd_$3" "${@:4}"
		sleep "$2"
	done
}

now_ms() { date +%s%3N; }

# within SECONDS VERB...: prints the output of VERB, and its time if it took longer
cmd_within() {
	local begin spent
	begin=$(now_ms)
	"cmd_$2" "${@:3}" >"$work/within.out"
	spent=$(($(now_ms) - begin))
	echo "$2 took $spent ms of $1 s" >>"$work/within.log"
	if [ "$spent" -le "$(($1 * 1000))" ]; then cat "$work/within.out"; else echo "late, $spent ms: $(cat "$work/within.out")"; fi
}

# journal WORKER...: prints how many requests the backend servers ran, and those
# that ran more than once
cmd_journal() {
	local w
	for w in "$@"; do
		fetch "http://${http[$w.backend]}/journal"
	done | sort | uniq -c | awk '$1 > 1 {print "ran " $1 " times: " $2; bad=1} END {print NR " ran, " (bad ? "some twice" : "none twice")}'
}

# wait_keys ENTRY...: waits until each accepts requests with an idempotency key
cmd_wait_keys() {
	local e
	for e in "$@"; do
		for _ in $(seq 300); do
			[ "$(fetch "http://${http[$e]}/dump" | jq .keys_ready)" = true ] && break
			sleep 0.1
		done
	done
}

# wait_owned ENTRY...: waits until these entries are the only members that each of
# them knows, and each bucket is owned by the one of them that it is assigned to
cmd_wait_owned() {
	local want e urls=()
	want=$(tr ' ' '\n' <<<"$*" | sort | xargs)
	for e in "$@"; do urls+=("http://${http[$e]}/dump"); done
	for _ in $(seq 300); do
		fetch "${urls[@]}" | jq -es --arg want "$want" --argjson entries $# '
			length == $entries
			and all(.[]; .members.normal and (.members.members | sort | join(" ")) == $want)
			and ([.[].buckets[] | select(.standing == 1 and .assigned)] | length) == 16' >/dev/null && return
		sleep 0.1
	done
	echo "not all buckets are owned by $*"
}

# wait_members ENTRY...: waits until each lists exactly these as members
cmd_wait_members() {
	local e want
	want=$(tr ' ' '\n' <<<"$*" | sort | xargs)
	for e in "$@"; do
		for _ in $(seq 300); do
			[ "$(fetch "http://${http[$e]}/dump" | jq -r '.members.members | sort | join(" ")')" = "$want" ] && break
			sleep 0.1
		done
	done
}

# submit LABEL ENTRY CLASS TEAM SERVICE KIND RUN_MS [HEADER...]: submits a job
cmd_submit() {
	local label=$1 e=$2 h args=()
	args=(-H "Gypsumnotch-Class: $3" -H "Gypsumnotch-Team: $4" -H "Gypsumnotch-Service: $5" -H "Gypsumnotch-Kind: $6")
	for h in "${@:8}"; do args+=(-H "$h"); done
	fetch "${args[@]}" --data-binary "$7" "http://${http[$e]}/v1/jobs" >"$work/answer"
	job[$label]=$(sed -n 's/.*"job":"\([^"]*\)".*/\1/p' "$work/answer")
	if [ "${job[$label]}" ]; then echo accepted; else cut -c1-120 "$work/answer"; fi
}

# refused_job ENTRY CLASS TEAM SERVICE KIND RUN_MS: submits a job and prints the
# status, the outcome and the reason
cmd_refused_job() {
	local status
	status=$(fetch -D "$work/head" -o "$work/answer" -w '%{http_code}' -H "Gypsumnotch-Class: $2" \
		-H "Gypsumnotch-Team: $3" -H "Gypsumnotch-Service: $4" -H "Gypsumnotch-Kind: $5" \
		--data-binary "$6" "http://${http[$1]}/v1/jobs")
	echo "$status $(jq -r '"\(.outcome) \(.reason)"' "$work/answer")$(grep -qi '^Retry-After: [0-9]' "$work/head" && echo " retry-after")"
}

cmd_submit_until() { # like submit, repeated until the job is accepted
	local answer
	for _ in $(seq 50); do
		cmd_submit "$@" >"$work/until"
		answer=$(cat "$work/until")
		[ "$answer" = accepted ] && break
		sleep 0.2
	done
	echo "$answer"
}

get_job_state() {
	local e
	for e in "${!link[@]}"; do
		fetch "http://${http[$e]}/v1/jobs/${job[$1]}" | sed -n 's/.*"state":"\([^"]*\)".*/\1/p' | grep . && return
	done
}

# wait_job LABEL STATE: waits until the job has this state and prints it; after a
# timeout, prints the last state
cmd_wait_job() {
	local state=
	for _ in $(seq 400); do
		state=$(get_job_state "$1")
		[ "$state" = "$2" ] && break
		sleep 0.1
	done
	echo "${state:-none}"
}

# wait_started LABEL...: waits until each of these jobs is assigned to a worker
cmd_wait_started() {
	local label state
	for label in "$@"; do
		for _ in $(seq 200); do
			state=$(get_job_state "$label")
			case $state in claimed | running | done) break ;; esac
			sleep 0.1
		done
		case $state in claimed | running) ;; *) echo "$label is ${state:-none}" ;; esac
	done
}

cmd_cancel() { # LABEL ENTRY: prints the outcome
	fetch -X DELETE "http://${http[$2]}/v1/jobs/${job[$1]}" | sed -n 's/.*"outcome":"\([^"]*\)".*/\1/p' | grep .
}

# cancel_reason ID ENTRY...: cancels a job at each entry and prints the reason
# header of each refusal
cmd_cancel_reason() {
	local id=$1 e
	shift
	for e in "$@"; do
		fetch -o /dev/null -D - -X DELETE "http://${http[$e]}/v1/jobs/$id" | tr -d '\r' | sed -n 's/^Gypsumnotch-Reason: //p'
	done
}

# runs WORKER...: prints how many runs the workers started, and whether two runs of
# a task ever overlapped. The journals of the workers use the same clock.
cmd_runs() {
	local w
	for w in "$@"; do
		fetch "http://${http[$w.backend]}/v1/tasks/journal"
	done | sort -k4,4n -k1,1 | awk '
		$1 == "start" { runs++; if (on[$2]++) bad = 1; next }
		{ on[$2]-- }
		END { print runs + 0 " runs, " (bad ? "some overlapping" : "none overlapping") }'
}

# runs_overlap WORKER...: like runs, but without the number of runs
cmd_runs_overlap() { cmd_runs "$@" | sed 's/.*runs, //'; }

cmd_ctl_quiet() { # like ctl, but prints only the exit status
	cmd_ctl "$@" | tail -n 1
}

cmd_file() { printf "$2" >"$work/file.$1"; } # NAME TEXT: writes a file for put

# put ENTRY PART FILE [HEADER...]: writes a part of the configuration and prints
# the status, the outcome and the revision
cmd_put() {
	local h args=() status
	for h in "${@:4}"; do args+=(-H "$h"); done
	status=$(fetch -o "$work/answer" -w '%{http_code}' -X PUT "${args[@]}" \
		--data-binary "@$work/file.$3" "http://${http[$1]}/v1/config/$2")
	echo "$status $(jq -r '"\(.outcome) \(if .outcome == "accepted" or .outcome == "conflict" then .revision else "" end)"' "$work/answer" | sed 's/ *$//')"
}

cmd_put_until() { # like put, repeated until it is accepted
	local answer
	for _ in $(seq 50); do
		answer=$(cmd_put "$@")
		[ "${answer%% *}" = 200 ] && break
		sleep 0.2
	done
	echo "$answer"
}

# wait_revision N PROCESS...: waits until each uses this configuration revision
cmd_wait_revision() {
	local want=$1 p seen urls=()
	shift
	for p in "$@"; do urls+=("http://${http[$p]}/dump"); done
	for _ in $(seq 200); do
		seen=$(fetch "${urls[@]}" | jq -r .config_revision)
		[ "$(wc -l <<<"$seen")" = $# ] && [ "$(sort -u <<<"$seen")" = "$want" ] && echo "revision $want everywhere" && return
		sleep 0.1
	done
	echo "revisions: "$seen
}

# running WORKER...: prints how many tasks the agents report as running
cmd_running() {
	local w
	for w in "$@"; do
		fetch "http://${http[$w]}/dump" | jq .tasks.running
	done | jq -s add
}

# wait_running N WORKER...: waits until N tasks run there and prints how many do
cmd_wait_running() {
	local seen=
	for _ in $(seq 300); do
		seen=$(cmd_running "${@:2}")
		[ "$seen" = "$1" ] && break
		sleep 0.1
	done
	echo "$seen"
}

# worked RUN_MS WORKER...: prints whether the runs of each task add up to RUN_MS (or
# at most 1 s more, so that no work was repeated), the largest number of runs of a
# task, and whether runs overlapped
cmd_worked() {
	local w
	for w in "${@:2}"; do
		fetch "http://${http[$w.backend]}/v1/tasks/journal"
	done | sort -k4,4n -k1,1r | awk -v run="$1" '
		$1 == "start" { runs[$2]++; if (on[$2]++) bad = 1; begun[$2] = $4; next }
		{ on[$2]--; spent[$2] += $4 - begun[$2] }
		END {
			for (t in runs) {
				n++
				if (runs[t] > most) most = runs[t]
				if (spent[t] < run || spent[t] > run + 1000) odd = odd " " spent[t] " ms"
			}
			print n + 0 " tasks, " (odd ? "some for" odd : "each for its time") ", at most " most + 0 " runs, " (bad ? "some overlapping" : "none overlapping")
		}'
}

# flood SERVICE COUNT ENTRY...: sends COUNT concurrent requests with a deadline of
# 9 s to each entry, and prints the answers that are neither results nor refusals
# as not run
cmd_flood() {
	local e
	for e in "${@:3}"; do
		cmd_crowd "$e" "$1" "$2" "at-$e-" "Gypsumnotch-Deadline-Ms: 9000" &
	done | awk '
		{ count += $1 }
		$2 != 200 && $3 != "not-run" { odd = odd "; " $0 }
		END { print count " told" odd }'
}

# most_tasks WORKER LIMIT: prints whether more than LIMIT tasks ever ran at once
cmd_most_tasks() {
	fetch "http://${http[$1.backend]}/v1/tasks/journal" | sort -k4,4n -k1,1 | awk -v limit="$2" '
		$1 == "start" { if (++now > most) most = now; next }
		{ now-- }
		END { print (most > limit ? most " at once" : most ? "never over " limit : "none") }'
}

# most_requests WORKER LIMIT: like most_tasks, for requests
cmd_most_requests() {
	fetch "http://${http[$1.backend]}/most" | awk -v limit="$2" '
		{ print ($1 > limit ? $1 " at once" : $1 ? "never over " limit : "none") }'
}

# spread WORKER...: prints whether the agent of each worker reports running tasks
cmd_spread() {
	local w
	for w in "$@"; do
		[ "$(fetch "http://${http[$w]}/dump" | jq .tasks.running)" -gt 0 ] || echo "$w has none"
	done | grep . || echo "every worker has tasks"
}

# at_least VERB... N: prints "yes" once VERB prints a number of at least N
cmd_at_least() {
	local want=${!#} seen=
	for _ in $(seq 100); do
		seen=$("cmd_$1" "${@:2:$#-2}")
		[ "${seen:-0}" -ge "$want" ] && echo yes && return
		sleep 0.1
	done
	echo "no: ${seen:-none}"
}

change_host() { # ENTRY ACTION HOST: prints the outcome
	fetch -X POST "http://${http[$1]}/v1/hosts/$3/$2" | jq -r .outcome
}

# change_host_until ENTRY ACTION HOST: repeats change_host until it is accepted
change_host_until() {
	local _
	for _ in $(seq 50); do
		[ "$(change_host "$@")" = accepted ] && return
		sleep 0.1
	done
}

# wait_same_revision PROCESS...: waits until all use the same configuration revision
cmd_wait_same_revision() {
	local p urls=()
	for p in "$@"; do urls+=("http://${http[$p]}/dump"); done
	for _ in $(seq 200); do
		[ "$(fetch "${urls[@]}" | jq .config_revision | sort | uniq -c | awk '{print $1}')" = $# ] && return
		sleep 0.1
	done
	echo "no common revision"
}

# drain_race ENTRY HOST ENTRY HOST ROUNDS: two operators drain hosts at the same
# time; each drain that was accepted must be in the rules afterwards
cmd_drain_race() {
	local i undone=0 one two rules
	for i in $(seq "$5"); do
		change_host "$1" drain "$2" >"$work/one" &
		two=$(change_host "$3" drain "$4")
		wait $!
		one=$(cat "$work/one")
		cmd_wait_same_revision "$1" "$3"
		rules=$(fetch "http://${http[$1]}/v1/config" | jq -r .rules)
		if [ "$one" = accepted ]; then grep -q "\"$2\"" <<<"$rules" || undone=$((undone + 1)); fi
		if [ "$two" = accepted ]; then grep -q "\"$4\"" <<<"$rules" || undone=$((undone + 1)); fi
		change_host_until "$1" resume "$2"
		sleep 0.2
		change_host_until "$1" resume "$4"
	done
	echo "$5 rounds, $([ $undone = 0 ] && echo no accepted change undone || echo $undone undone)"
}

# counter NAME COUNTER: prints the value of a counter
cmd_counter() { fetch "http://${http[$1]}/dump" | grep -o "\"$2\":[0-9]*" | cut -d: -f2; }

# ctl ENTRY ARGS...: runs gypsumnotchctl against an entry and prints its exit status
cmd_ctl() {
	local e=$1
	shift
	GYPSUMNOTCH_ENTRY=${http[$e]} "$build/gypsumnotchctl" "$@"
	echo "exit $?"
}

cmd_get() { fetch "http://${http[$1]}$2"; echo; }

run_line() {
	local -a words
	eval "words=($1)"
	local verb=${words[0]}
	if ! declare -F "cmd_$verb" >/dev/null; then
		echo "unknown command: $verb"
		return
	fi
	"cmd_$verb" "${words[@]:1}"
}

expected=$work/expected
actual=$work/actual
: >"$expected"
: >"$actual"
while IFS= read -r line || [ -n "$line" ]; do
	case $line in
	'' | '#'*) ;;
	'> '*) printf '%s\n' "${line#> }" >>"$expected" ;;
	*) run_line "$line" >>"$actual" 2>>"$work/shell.log" ;;
	esac
done <"$file"

if diff -u "$expected" "$actual" >"$work/diff"; then
	echo "ok 1 $name"
else
	echo "not ok 1 $name"
	cut -c1-160 "$work/diff" >&2
	tail -n 15 "$work"/*.log >&2
	exit 1
fi
