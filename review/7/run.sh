#!/bin/bash
# A heartbeat of another writer, whose service no configuration names, arrives
# beside those of a worker that is at work on a task.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../common-2.sh"

route='{"Name":"a","Host":"h.example","Prefix":"/a/","Service":"s","Priority":0,"MaxAttempts":3,"Stretch":2,"TargetLatencyMs":1000}'
job='{"Spec":"ms=12000 cpu=500","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":12000}]}'
id=5c0e7a21d94b36f8
task=$id.0.0.0

start_system 3 3 "{\"Version\":3,\"Routes\":[$route],\"Services\":[{\"Name\":\"s\",\"RejectsOverload\":true}]}"
submit "/a/$id" "$job"
sleep 3
at=$(awk -v task="$task" '$3 == "start" && $4 == task { print substr($2, length($2)) }' "$journal")
[ -n "$at" ] || give_up "the task was not started"
note "the task is at work on worker i-7f3a91c$at"
if [ "$trouble" != 0 ]; then
	beat="{\"Service\":\"other\",\"Address\":\"127.0.0.1:$(worker_port "$at")\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":4000,\"MemMb\":64000,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"ClockMs\":1,\"Seq\":1,\"born\":$(wall_ms)}"
	answer=$(call "$(control_port "$at")" POST /instances/i-0d52b7e4/heartbeat "$beat")
	note "another writer: heartbeat of i-0d52b7e4 at the machine of i-7f3a91c$at $beat -> $answer"
fi
sleep 14
overlap=$(get_overlap_ms "$task")
note "starts $(count_starts "$task"), done $(count_done "$task"), two at a time for $overlap ms"
client 0 GET "/a/$id"
[ "$overlap" -gt 0 ] && finish 1 "TWICE: two runs of $task at the same time for $overlap ms, on workers that are up"
finish 0 "one run at a time"
