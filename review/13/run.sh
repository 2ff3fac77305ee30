#!/bin/bash
# One worker of seven crashes and comes back several times under a task that lasts; see
# claim.txt. With TROUBLE=0 it does not crash. Exits with 1 if the job is given up, 0 if
# not, 2 if the case cannot run.
set -u
SCHEDULERS=3
WORKERS=7
# shellcheck source=../common-3.sh
. "$(dirname "$0")/../common-3.sh"

job=5c0e7a21d94b36f8
crashes=${CRASHES:-6}
up_s=${UP_S:-1.5}  # from the start of the task to the crash
down_s=${DOWN_S:-1} # until the next worker is there
worker_options() { [ "$1" != 3 ] || echo "--kind b"; }

# await_start LIFE: waits until the task has begun on this life of the worker.
await_start() {
	for _ in $(seq 300); do
		grep -q " $1 start $job" "$folder/journal" && return 0
		sleep 0.05
	done
	return 1
}

setup
answer=$(send POST 1 "/q/$job" '{"Spec":"ms=0 how=done first=0","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"EstimateMs":400,"LongRunning":true,"Requires":"b"}]}')
case $answer in 2*) ;; *) fail_to_run "the job was not accepted: $answer" ;; esac
life=i-3
[ "$TROUBLE" = 1 ] || crashes=0
for n in $(seq "$crashes"); do
	await_start "$life" || break
	sleep "$up_s"
	kill -KILL "${pids[worker-3]}"
	say "crash $n of the worker on side-3, $up_s s after the start of the task"
	sleep "$down_s"
	life=i-3-$n
	start_worker 3 "$life" --kind b
	say "the worker on side-3 is back as $life"
done
# From now on nothing is disturbed.
sleep 12
state=$(send GET 2 "/q/$job")
starts=$(grep -c " start $job" "$folder/journal")
failed=$(grep -c " end .* failed" "$folder/journal")
say "the job is shown as $state; $starts starts, $failed ends as failed"
case $state in
*'"failed"'*) finish 1 "LOST: a job of a task that lasts is shown as failed, no run has ended so" ;;
esac
grep -q " $life start $job" "$folder/journal" ||
	finish 1 "LOST: the task that lasts has not run for 12 s, the worker $life is sound and empty"
finish 0
