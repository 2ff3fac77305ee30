#!/bin/bash
# Clients hand in jobs with many occurrences, the first of which is due tomorrow.
# The leading scheduler keeps something for each task of each occurrence.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../common-2.sh"

route='{"Name":"a","Host":"h.example","Prefix":"/a/","Service":"s","Priority":0,"MaxAttempts":3,"Stretch":2,"TargetLatencyMs":1000}'
ordinary=5c0e7a21d94b36f8
# Every hour for two years.
occurrences=17520
[ "$trouble" != 0 ] || occurrences=24

start_system 3 3 "{\"Version\":3,\"Routes\":[$route],\"Services\":[{\"Name\":\"s\",\"RejectsOverload\":true}]}"
submit "/a/$ordinary" '{"Spec":"ms=4000 cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":4000},{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":4000,"After":[0]}]}'
due_ms=$(($(wall_ms) + 24 * 3600 * 1000))
accepted=0
patience_s=2
end_us=$(($(now_us) + 20000000))
for ((i = 1; i <= 60 && $(now_us) < end_us; i++)); do
	client $((i % 3)) POST "/a/$(printf '5c0e7a21d94b%04x' "$i")" \
		"{\"Spec\":\"ms=1000 cpu=500\",\"Steps\":[{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":1000}],\"RepeatCount\":$occurrences,\"StartAtMs\":$due_ms,\"IntervalMs\":3600000}"
	[[ $answer == 2* ]] && accepted=$((accepted + 1))
	check_memory 3
	[ ${#kills[@]} -eq 0 ] || watch_memory 3 1
done
note "accepted: $accepted jobs with $occurrences occurrences; no client sends any more"
watch_memory 3 15
served=0
for i in 0 1 2; do
	client $i GET "/a/$ordinary"
	[[ $answer == 2* ]] && served=$((served + 1))
	watch_memory 3 1
done
note "killed for their memory: ${kills[*]:-none}; answers about job $ordinary: $served of 3; its tasks done: $(count_ends_of_job $ordinary done) of 4"
if [ "$(count_starts_of_job $ordinary)" -lt 4 ]; then
	finish 1 "LOST: nothing of the accepted job $ordinary has run for 15 s and more, although the turn of its second step has come; each scheduler that leads ends by itself"
fi
[ ${#kills[@]} -eq 0 ] || note "schedulers were over their memory, but the job was not lost"
finish 0 "the job was run"
