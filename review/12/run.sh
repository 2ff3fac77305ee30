#!/bin/bash
# One worker of seven leaves a call to start a task unanswered, takes the next one, and
# crashes after the task is done; its next life under the same ID carries the first call
# out late; see claim.txt. With TROUBLE=0 nothing of that happens. Exits with 1 if a task
# is started again after its end as done was taken note of, 0 if not, 2 if the case
# cannot run.
set -u
SCHEDULERS=3
WORKERS=7
# shellcheck source=../common-3.sh
. "$(dirname "$0")/../common-3.sh"

job=5c0e7a21d94b36f8
worker_options() {
	[ "$1" = 3 ] || return
	mkdir -p "$folder/held"
	echo "--held $folder/held"
	[ "$TROUBLE" = 0 ] || echo "--late 1000:60000 --late-first 1"
}
setup
answer=$(send POST 1 "/q/$job" '{"Spec":"ms=1500 how=done first=0","Steps":[{"Count":7,"Cpu":8000,"MemMb":256,"EstimateMs":1500}]}')
case $answer in 2*) ;; *) fail_to_run "the job was not accepted: $answer" ;; esac
for _ in $(seq 60); do
	sleep 0.2
	state=$(send GET 2 "/q/$job")
	case $state in *completed*) break ;; esac
done
say "the job is shown as $state"
case $state in *completed*) ;; *) fail_to_run "the job has not completed" ;; esac
if [ "$TROUBLE" = 1 ]; then
	task=$(awk '$3 == "unanswered" { print $4; exit }' "$folder/journal")
	[ -n "$task" ] || fail_to_run "the worker was told to start nothing"
	sleep 0.5
	kill -KILL "${pids[worker-3]}"
	echo "$("$stand" now) i-3 death - 0 -" >>"$folder/journal"
	say "the worker i-3 has crashed"
	sleep 0.5
	start_worker 3 i-3 --held "$folder/held"
	say "a worker has started there under the same Id"
fi
sleep 5
again=$(awk '
	$3 == "start" && done[$4] { print $4 ", attempt " $5 ", starts on " $2 " after its end as done was noted" }
	$3 == "noted" && $6 == "done" { done[$4] = 1 }' "$folder/journal")
say "orders to start: $(grep -cE " (start|unanswered) " "$folder/journal"), unanswered: $(grep -c " unanswered " "$folder/journal")"
[ -z "$again" ] || finish 1 "TWICE: $(echo "$again" | head -n 1)"
finish 0
