#!/bin/bash
# One worker of seven leaves one call to start a task unanswered and takes the next one.
# It leaves as planned and starts again under its ID, which carries the first call out
# late; see claim.txt. With TROUBLE=0 no call is left unanswered. Exits with 1 if a task
# runs twice at a time, 0 if not, 2 if the case cannot run.
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
answer=$(send POST 1 "/q/$job" '{"Spec":"ms=15000 how=done first=0","Steps":[{"Count":7,"Cpu":8000,"MemMb":256,"EstimateMs":15000}]}')
case $answer in 2*) ;; *) fail_to_run "the job was not accepted: $answer" ;; esac
sleep 0.5
"$stand" call POST "127.0.0.1:$(worker_port 3 1)" x /leave >/dev/null
say "the worker i-3 is told to leave"
for _ in $(seq 100); do
	grep -q " i-3 death " "$folder/journal" && break
	sleep 0.1
done
grep -q " i-3 death " "$folder/journal" || fail_to_run "the worker has not left"
sleep 0.5
start_worker 3 i-3 --held "$folder/held"
say "a worker has started there under the same Id"
for _ in $(seq 60); do
	sleep 0.5
	state=$(send GET 2 "/q/$job")
	case $state in *completed* | *'"failed"'*) break ;; esac
done
sleep 1
twice=$(awk '
	$3 == "death" { for (r in runs) { split(r, k, " "); if (k[2] == $2) delete runs[r] } }
	$3 == "start" {
		for (r in runs) { split(r, k, " "); if (k[1] == $4) print $4 ", attempt " $5 ", starts on " $2 " while attempt " runs[r] " runs on " k[2] }
		runs[$4 " " $2] = $5
	}
	$3 == "end" { delete runs[$4 " " $2] }' "$folder/journal")
say "orders to start: $(grep -cE " (start|unanswered) " "$folder/journal"), unanswered: $(grep -c " unanswered " "$folder/journal")"
say "the job is shown as $state"
[ -z "$twice" ] || finish 1 "TWICE: $(echo "$twice" | head -n 1)"
finish 0
