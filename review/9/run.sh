#!/bin/bash
# The leading scheduler is killed while the store is slow and many short tasks end: a
# worker lists 500 ends at a time, and the next leader learns of the others later.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../common-2.sh"

route='{"Name":"a","Host":"h.example","Prefix":"/a/","Service":"s","Priority":0,"MaxAttempts":3,"Stretch":2,"TargetLatencyMs":1000}'
id=5c0e7a21d94b36f8

start_system 3 2 "{\"Version\":3,\"Routes\":[$route],\"Services\":[{\"Name\":\"s\",\"RejectsOverload\":true}]}"
submit "/a/$id" "{\"Spec\":\"ms=5000 cpu=5\",\"Steps\":[{\"Count\":1400,\"Cpu\":5,\"MemMb\":10,\"EstimateMs\":5000}]}"
sleep 3.5
note "starts $(count_starts_of_job $id)"
if [ "$trouble" != 0 ]; then
	call "$(store_port)" POST /fault slow >/dev/null
	note "the store takes 200 ms for an answer"
	leader=$(find_leader)
	[ -n "$leader" ] || give_up "no scheduler leads"
	note "scheduler $leader, which leads, is killed"
	kill_process "scheduler-$leader"
	sleep 1
	start_scheduler "$leader"
	sleep 3
	call "$(store_port)" POST /fault none >/dev/null
	note "the store is as fast as before"
fi
sleep 20
client 0 GET "/a/$id"
again=$(awk '$3 == "start" { if ($4 in ended) { n++; print "started again:", $4, "attempt", $5, "on", $2 > "/dev/stderr" } }
	$3 == "end" && $6 == "done" { ended[$4] = $1 }
	END { print n + 0 }' "$journal" 2>>"$record")
noted=$(awk '$3 == "noted" && $6 == "done"' "$journal" | wc -l)
note "starts $(count_starts_of_job $id), done $(count_ends_of_job $id done), of which $noted were taken note of, lapsed $(count_ends_of_job $id lapsed), started again after an end as done: $again"
[ "$noted" -lt "$(count_ends_of_job $id done)" ] && give_up "not all ends were taken note of"
[ "$again" -gt 0 ] && finish 1 "TWICE: $again starts after a run had ended as done, all of these ends having been taken note of"
finish 0 "no start after an end as done"
