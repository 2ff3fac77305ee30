#!/bin/bash
# One route is removed, and one is replaced by another with the same host and
# prefix, while accepted jobs of both run. Then the leading scheduler is killed. The
# next leader has to go on with the jobs.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../common-2.sh"

service='"Services":[{"Name":"s","RejectsOverload":true}]'
rest='"Host":"h.example","Service":"s","Priority":0,"MaxAttempts":3,"Stretch":2,"TargetLatencyMs":1000'
job='{"Spec":"ms=4000 cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":4000},{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":4000,"After":[0]}]}'
removed=5c0e7a21d94b36f7
replaced=5c0e7a21d94b36f8
kept=5c0e7a21d94b36f9

start_system 3 3 "{\"Version\":3,\"Routes\":[{\"Name\":\"r-a\",\"Prefix\":\"/a/\",$rest},{\"Name\":\"r-b\",\"Prefix\":\"/b/\",$rest},{\"Name\":\"r-c\",\"Prefix\":\"/c/\",$rest}],$service}"
submit "/a/$removed" "$job"
submit "/b/$replaced" "$job"
submit "/c/$kept" "$job"
sleep 0.5
put_config "{\"Version\":7,\"Routes\":[{\"Name\":\"r-d\",\"Prefix\":\"/b/\",$rest},{\"Name\":\"r-c\",\"Prefix\":\"/c/\",$rest}],$service}"
sleep 2
if [ "$trouble" != 0 ]; then
	leader=$(find_leader)
	[ -n "$leader" ] || give_up "no scheduler leads"
	note "scheduler $leader, which leads, is killed"
	kill_process "scheduler-$leader"
	sleep 1
	start_scheduler "$leader"
	note "scheduler $leader is started again"
fi
# The first steps have ended by now, and no client has sent anything since.
sleep $(((contact_ms + finish_ms) / 1000))
client 0 GET "/a/$removed"
client 1 GET "/b/$replaced"
client 2 GET "/c/$kept"
sleep 3
for id in $removed $replaced $kept; do
	note "job $id: first step done $(count_done "$id.0.0.0") $(count_done "$id.0.0.1"), second step started $(count_starts "$id.0.1.0") $(count_starts "$id.0.1.1"), done $(count_done "$id.0.1.0") $(count_done "$id.0.1.1")"
	[ "$(count_done "$id.0.0.0")" = 1 ] || give_up "the first step did not end"
done
[ "$(count_done "$kept.0.1.0")" = 1 ] || give_up "the job of the route that stays did not end"
stuck=
for id in $removed $replaced; do
	[ "$(count_starts_of_job "$id")" -ge 3 ] || stuck="$stuck $id"
done
[ -z "$stuck" ] ||
	finish 1 "LOST: nothing of the accepted jobs$stuck runs, although the turn of their second step has come and all workers are empty"
finish 0 "the second steps were started"
