#!/bin/bash
# A worker has crashed, and a new incarnation is at work at its address. A machine
# of the system and the leading scheduler lose power; as the machine is back, a
# heartbeat of the earlier incarnation arrives, which a partition had delayed.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../common-2.sh"

route='{"Name":"a","Host":"h.example","Prefix":"/a/","Service":"s","Priority":0,"MaxAttempts":3,"Stretch":2,"TargetLatencyMs":1000}'
job='{"Spec":"ms=20000 cpu=500","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":20000}]}'
id=5c0e7a21d94b36f8
task=$id.0.0.0

start_system 3 3 "{\"Version\":3,\"Routes\":[$route],\"Services\":[{\"Name\":\"s\",\"RejectsOverload\":true}]}"
declare -A born=()
worker_id=i-4b18e9d
for i in 0 1 2; do
	answer=$(call "$(control_port "$i")" GET /dump "")
	[[ $answer =~ \"born_ms\":\ *([0-9]+) ]] || give_up "executor $i knows no worker"
	born[$i]=${BASH_REMATCH[1]}
	note "worker i-7f3a91c$i, born ${born[$i]}, crashes, and $worker_id$i starts at its address"
	kill_process "worker-$i"
	start_worker "$i"
done
sleep 1
for i in 0 1 2; do
	call "$(worker_port "$i")" POST /calm '{}' >/dev/null
done
sleep $((contact_ms / 1000))
submit "/a/$id" "$job"
sleep 2
at=$(awk -v task="$task" '$3 == "start" && $4 == task { print substr($2, length($2)) }' "$journal")
[ -n "$at" ] || give_up "the task was not started"
note "the task is at work on worker $worker_id$at"
beat="{\"Service\":\"s\",\"Address\":\"127.0.0.1:$(worker_port "$at")\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":4000,\"MemMb\":64000,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"ClockMs\":4000,\"Seq\":10,\"born\":${born[$at]}}"
leader=$(find_leader)
[ -n "$leader" ] || give_up "no scheduler leads"
note "scheduler $leader, which leads, and executor $at are killed at the same time"
kill_process "scheduler-$leader"
kill_process "executor-$at"
sleep 0.5
start_scheduler "$leader"
sleep 1.5
start_executor "$at"
if [ "$trouble" != 0 ]; then
	for i in {1..200}; do
		answer=$(call "$(control_port "$at")" POST /instances/i-7f3a91c$at/heartbeat "$beat")
		[ "$answer" = 0 ] || break
		sleep 0.01
	done
	note "delayed: heartbeat of i-7f3a91c$at $beat -> $answer"
fi
sleep 24
overlap=$(get_overlap_ms "$task")
note "starts $(count_starts "$task"), done $(count_done "$task"), two at a time for $overlap ms"
client 0 GET "/a/$id"
[ "$overlap" -gt 0 ] && finish 1 "TWICE: two runs of $task at the same time for $overlap ms, on workers that are up"
finish 0 "one run at a time"
