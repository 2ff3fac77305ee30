#!/bin/bash
# Runs the Graenbylgja example with separate processes in three data centres: one
# worker is killed and another drained while callers and jobs run. Checks the
# guarantees of the product; the exit status is 0 if all of them held, else 1.
# usage: tests/demo.sh BUILD_FOLDER
set -u
build=$1
example=examples/graenbylgja
service=timing-planner
plan_ms=6000  # run time of one network plan
check_ms=20   # run time of one quick check
plans=8
work=$(mktemp -d)
# Each run uses its own loopback address, so that concurrent runs don't collide.
ip=127.$((1 + $$ / 62500 % 250)).$(($$ / 250 % 250)).$((1 + $$ % 250))
port=20000
declare -A pid http link job killed_ms
entries="entry-rey-1 entry-haf-1"
workers="rey-01 haf-01 kef-01"
declare -A data_centre=([entry-rey-1]=reykjavik-a [entry-haf-1]=hafnarfjordur-b
	[rey-01]=reykjavik-a [haf-01]=hafnarfjordur-b [kef-01]=keflavik-c)

# ======   Processes   ======

# Ends all processes with SIGTERM, and after 5 s with SIGKILL.
stop_all() {
	touch "$work/stop"
	[ ${#pid[@]} -eq 0 ] && return
	kill -TERM "${pid[@]}" 2>/dev/null
	for _ in $(seq 50); do
		kill -0 "${pid[@]}" 2>/dev/null || break
		sleep 0.1
	done
	kill -KILL "${pid[@]}" 2>/dev/null
	wait 2>/dev/null
	pid=()
}

cleanup() {
	stop_all
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM HUP

print_heading() { printf '\n== %s\n' "$*"; }

fail() {
	echo "demo: $*" >&2
	tail -n 5 "$work"/*.log >&2
	exit 1
}

# allot_address VARIABLE: sets it to an address that nothing uses yet
allot_address() {
	port=$((port + 1))
	printf -v "$1" '%s' "$ip:$port"
}

launch() { # NAME PROGRAM ARGS...
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pid[$name]=$!
}

start_platform() {
	allot_address "http[platform]"
	launch platform "$build/tests/standin/platform" --listen "${http[platform]}"
}

# The settings are those of the example with the names and addresses of this run.
start_entry() { # NAME
	allot_address "http[$1]"
	allot_address "link[$1]"
	sed -e "s|^name = .*|name = \"$1\"|" \
		-e "s|^data_centre = .*|data_centre = \"${data_centre[$1]}\"|" \
		-e "s|^address = .*|address = \"${http[platform]}\"|" \
		-e "s|10.1.0.10:8080|${http[$1]}|" \
		-e "s|10.1.0.10:7000|${link[$1]}|" \
		$example/entry.toml >"$work/$1.toml"
	launch "$1" "$build/gypsumnotchd" --settings "$work/$1.toml"
}

start_worker() { # NAME: starts an agent and its backend server
	local list
	list=$(for e in $entries; do printf '"%s", ' "${link[$e]}"; done)
	allot_address "http[$1]"
	allot_address "http[$1.backend]"
	sed -e "s|^name = .*|name = \"$1\"|" \
		-e "s|^data_centre = .*|data_centre = \"${data_centre[$1]}\"|" \
		-e "s|^listen = .*|listen = \"${http[$1]}\"|" \
		-e "s|^entries = .*|entries = [${list%, }]|" \
		$example/agent.toml >"$work/$1.toml"
	launch "$1" "$build/gypsumnotchd" --settings "$work/$1.toml"
	launch "$1.backend" "$build/tests/standin/backend" \
		--listen "${http[$1.backend]}" --agent "${http[$1]}"
}

# ======   Calls to the processes   ======

fetch() { curl -s -m 10 --noproxy '*' "$@"; }

ctl() { # ENTRY ARGS...
	local entry=$1
	shift
	"$build/gypsumnotchctl" "$@" --entry "${http[$entry]}"
}

# wait_for SECONDS WHAT COMMAND...: waits until COMMAND succeeds
wait_for() {
	local left=$(($1 * 5)) what=$2
	shift 2
	until "$@"; do
		left=$((left - 1))
		[ $left -gt 0 ] || fail "timed out waiting for $what"
		sleep 0.2
	done
}

has_all_workers() { # ENTRY
	[ "$(fetch "http://${http[$1]}/v1/hosts" |
		jq '[.hosts[] | select(.state == "live")] | length')" = 3 ]
}

all_buckets_owned() { # the jobs are stored in 16 buckets that the entries share
	local e
	for e in $entries; do
		fetch "http://${http[$e]}/dump" | jq '[.buckets[] | select(.standing == 1)] | length'
	done | awk '{ n += $1 } END { exit n != 16 }'
}

is_revision_everywhere() { # REVISION
	local p
	for p in $entries $workers; do
		[ "$(fetch "http://${http[$p]}/dump" | jq .config_revision)" = "$1" ] || return 1
	done
}

get_job_field() { # LABEL FIELD
	fetch "http://${http[entry-haf-1]}/v1/jobs/${job[$1]}" | jq -r ".$2"
}

# Asks the agents, which know it before an entry has stored it.
is_running() { # LABEL
	local w
	for w in $workers; do
		[ "${pid[$w]:-}" ] || continue
		fetch "http://${http[$w]}/dump" | jq -e --arg id "${job[$1]}" \
			'any(.tasks.runs[]; .id == $id and .state == "running")' >/dev/null && return
	done
	return 1
}

has_job_state() { [ "$(get_job_field "$1" state)" = "$2" ]; }

all_plans_done() {
	local i
	for i in $(seq $plans); do
		has_job_state "plan-$i" 'done' || return 1
	done
}

submit() { # LABEL ENTRY CLASS TEAM KIND RUN_MS
	printf '%s' "$6" >"$work/spec"
	job[$1]=$(ctl "$2" submit --class "$3" --team "$4" --service $service \
		--kind "$5" --key "$1" --json "$work/spec" | jq -r .job)
	[[ ${job[$1]} = *-* ]] || fail "$1 was not accepted"
}

# ======   Callers   ======

# Sends requests one by one until the callers are stopped. Writes a line for each:
# body, repeatable, status, seconds, outcome, reason, whether the answer is whole.
call_until_stopped() { # NAME ENTRY REPEATABLE
	local i=0 body result whole key
	while [ ! -e "$work/stop-callers" ] && [ ! -e "$work/stop" ]; do
		i=$((i + 1))
		body=$1-$i
		key=()
		[ "$3" = no ] && key=(-H "Idempotency-Key: $body")
		result=$(fetch -o "$work/$1.answer" -H 'Gypsumnotch-Team: corridors' \
			-H "Gypsumnotch-Repeatable: $3" "${key[@]}" --data-binary "$body" \
			-w '%{http_code} %{time_total} %header{gypsumnotch-outcome} reason=%header{gypsumnotch-reason}' \
			"http://${http[$2]}/v1/services/$service/requests")
		whole=no
		[ "$(cat "$work/$1.answer" 2>/dev/null)" = "ok:$body" ] && whole=yes
		rm -f "$work/$1.answer"
		echo "$body $3 $result $whole"
		sleep 0.02
	done >"$work/$1.calls"
}

start_caller() { # NAME ENTRY REPEATABLE
	call_until_stopped "$@" &
	pid[$1]=$!
}

callers="check-1 check-2 adopt-1 adopt-2"

start_callers() {
	local w
	for w in $workers; do
		fetch -o /dev/null --data-binary "{\"slow_ms\":$check_ms}" "http://${http[$w.backend]}/fault"
	done
	start_caller check-1 entry-rey-1 yes
	start_caller check-2 entry-haf-1 yes
	start_caller adopt-1 entry-rey-1 no
	start_caller adopt-2 entry-haf-1 no
}

stop_callers() {
	local c
	touch "$work/stop-callers"
	for c in $callers; do
		wait "${pid[$c]}"
		unset "pid[$c]"
	done
}

# ======   Journals of the backend servers   ======

read_journals() { # WORKER
	fetch "http://${http[$1.backend]}/journal" >"$work/$1.requests"
	fetch "http://${http[$1.backend]}/v1/tasks/journal" | sed "s/\$/ $1/" >"$work/$1.tasks"
}

# Prints the number of requests and runs that a backend server has started.
count_work() { # WORKER
	fetch "http://${http[$1.backend]}/journal" "http://${http[$1.backend]}/v1/tasks/journal" |
		grep -vcE '^(done|failed|checkpointed|stopped) '
}

uptime_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }

# Kills the agent first, so that the journal of its backend server is complete.
kill_worker() { # NAME
	kill -KILL "${pid[$1]}"
	wait "${pid[$1]}" 2>/dev/null
	sleep 0.1
	read_journals "$1"
	kill -KILL "${pid[$1.backend]}"
	wait "${pid[$1.backend]}" 2>/dev/null
	killed_ms[$1]=$(uptime_ms)
	unset "pid[$1]" "pid[$1.backend]"
}

# Prints all starts and ends of runs in order. Runs on a killed worker ended at the
# latest when it was killed. Lines: event, id, epoch, ms, kind, worker.
task_events() {
	local w
	for w in $workers; do
		awk -v killed="${killed_ms[$w]:-}" '
			{ print }
			$1 == "start" { on[$2] = $0; next }
			{ delete on[$2] }
			END { for (id in on) if (killed) {
				split(on[id], f); print "lost", id, f[3], killed, f[5], f[6] } }
		' "$work/$w.tasks"
	done | sort -s -k4,4n -k1,1
}

# ======   Tables   ======

print_callers() {
	local c
	printf '%-9s %-11s %-10s %6s %8s %8s %8s %10s %10s\n' CALLER ENTRY REPEATABLE \
		DONE NOT-RUN UNKNOWN NOT-WHOLE MEDIAN-MS P99-MS
	for c in $callers; do
		sort -k4,4n "$work/$c.calls" | awk -v name="$c" '
			{ count[$5]++; ms[NR] = $4 * 1000; repeatable = $2 }
			$5 == "done" && $7 != "yes" { cut++ }
			END { printf "%-9s %-11s %-10s %6d %8d %8d %8d %10.1f %10.1f\n", name,
				name ~ /1$/ ? "entry-rey-1" : "entry-haf-1", repeatable,
				count["done"], count["not-run"], count["unknown"], cut,
				ms[int((NR + 1) / 2)], ms[int((NR * 99 + 99) / 100)] }'
	done
	awk '$5 != "done" { print "  " $5 ", " $6 }' "$work"/*.calls | sort | uniq -c
}

print_jobs() {
	local label
	printf '%-9s %-18s %-10s %s\n' JOB ID STATE 'RUNS, AND HOW EACH ENDED'
	for label in listener $(seq -f 'plan-%g' $plans); do
		printf '%-9s %-18s %-10s %s\n' "$label" "${job[$label]}" \
			"$(get_job_field "$label" state)" \
			"$(awk -v id="${job[$label]}" '$2 == id {
				if ($1 == "start") printf "%s%s", n++ ? ", " : "", $6
				else printf " (%s)", $1 }' "$work/events")"
	done
}

# ======   Checks   ======

failures=0
check() { # TEXT COUNT_OF_VIOLATIONS
	if [ "$2" = 0 ]; then
		echo "held: $1"
	else
		echo "NOT HELD: $1 ($2)"
		failures=$((failures + 1))
	fi
}

# Counts the calls with an outcome whose number of runs is out of bounds.
count_bad_runs() { # REPEATABLE OUTCOME LEAST MOST
	sort "$work"/*.requests | uniq -c | awk -v repeatable="$1" -v outcome="$2" \
		-v least="$3" -v most="$4" '
		FNR == NR { ran[$2] = $1; next }
		$2 == repeatable && $5 == outcome &&
			(ran[$1] + 0 < least || ran[$1] + 0 > most) { bad++ }
		END { print bad + 0 }' - "$work"/*.calls
}

count_overlaps() {
	awk '$1 == "start" { if (on[$2]++) bad++; next }
		{ on[$2]-- }
		END { print bad + 0 }' "$work/events"
}

count_not_done_once() { # plans that did not end as done exactly once
	awk '$5 == "network-plan" { seen[$2] += $1 == "done" }
		END { for (id in seen) { n++; bad += seen[id] != 1 }
			print bad + (n == '$plans' ? 0 : 1) }' "$work/events"
}

check_all() {
	local whole
	whole=$(awk '$5 == "done" && $7 != "yes"' "$work"/*.calls | wc -l)
	check "every answer reported as done was the whole answer to its request" "$whole"
	check "every call got an outcome" \
		"$(awk '$5 !~ /^(done|not-run|unknown)$/' "$work"/*.calls | wc -l)"
	check "no call reported as not run had run" \
		$(($(count_bad_runs yes not-run 0 0) + $(count_bad_runs no not-run 0 0)))
	check "no call marked as not repeatable ran twice" \
		$(($(count_bad_runs no 'done' 1 1) + $(count_bad_runs no unknown 0 1)))
	check "every call reported as done had run" "$(count_bad_runs yes 'done' 1 9)"
	check "every plan was finished exactly once" "$(count_not_done_once)"
	check "no two runs of a task overlapped" "$(count_overlaps)"
	check "the drained backend server got no new work after 3 s" "$after_drain"
}

# ======   The run   ======

print_heading "platform, two entries, three workers in three data centres ($ip)"
start_platform
for e in $entries; do start_entry "$e"; done
for w in $workers; do start_worker "$w"; done
for e in $entries; do wait_for 15 "the workers at $e" has_all_workers "$e"; done
wait_for 15 "the owners of the jobs" all_buckets_owned
ctl entry-rey-1 import-inventory $example/inventory.toml || fail "cannot import the inventory"
ctl entry-haf-1 set-rules $example/rules.toml || fail "cannot set the rules"
revision=$(fetch "http://${http[entry-haf-1]}/v1/config" | jq .revision)
wait_for 10 "revision $revision" is_revision_everywhere "$revision"
ctl entry-rey-1 hosts

print_heading "a standing listener, $plans network plans overnight, engineers' calls"
submit listener entry-haf-1 standing detectors detector-feed 0
wait_for 10 "the listener" is_running listener
for i in $(seq $plans); do
	[ $((i % 2)) = 0 ] && e=entry-rey-1 || e=entry-haf-1
	submit "plan-$i" $e batch networks network-plan $plan_ms
done
start_callers
for i in $(seq $plans); do wait_for 10 "plan-$i" is_running "plan-$i"; done
ctl entry-rey-1 jobs

# The rules forbid plans and the listener to share a host. So the listener's host
# is drained, one of the two others is killed, and the drain is ended later.
drained=$(get_job_field listener worker)
lost=$(get_job_field plan-1 worker)
print_heading "$lost is killed, agent and backend server; $drained is drained"
kill_worker "$lost"
ctl entry-haf-1 drain "$drained" || fail "cannot drain $drained"
sleep 3 # after this time it must get no new work
before=$(count_work "$drained")
sleep 5
after_drain=$(($(count_work "$drained") - before))
ctl entry-rey-1 hosts
ctl entry-rey-1 resume "$drained" || fail "cannot resume $drained"
wait_for 40 "the plans" all_plans_done
wait_for 15 "the listener's next run" is_running listener
ctl entry-rey-1 hosts
stop_callers
ctl entry-rey-1 cancel "${job[listener]}"
wait_for 10 "the listener's end" has_job_state listener cancelled
for w in $workers; do [ "$w" = "$lost" ] || read_journals "$w"; done
task_events >"$work/events"

print_heading "outcomes by caller"
print_callers
print_heading "runs and final state of each job"
print_jobs
print_heading "checks of the journals of the backend servers"
check_all
stop_all
echo
if [ $failures = 0 ]; then
	echo "demo: all held"
else
	echo "demo: $failures of the checks above did NOT hold"
	exit 1
fi
