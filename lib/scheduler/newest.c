#include "scheduler/newest.h"

static gn_newest_process_t *get_process(gn_newest_t *newest,
					uint64_t incarnation)
{
	gn_newest_process_t *process;

	for (unsigned i = 0; i < GN_NEWEST_PROCESSES_MAX; i++) {
		process = &newest->processes[i];
		if (process->sequence && process->incarnation == incarnation)
			return process;
	}
	process = &newest->processes[newest->process_count++ %
				     GN_NEWEST_PROCESSES_MAX];
	*process = (gn_newest_process_t){ .incarnation = incarnation };
	return process;
}

bool gn_newest_record(gn_newest_t *newest, uint64_t incarnation,
		      uint64_t sequence)
{
	gn_newest_process_t *process = get_process(newest, incarnation);

	if (sequence <= process->sequence)
		return false;
	process->sequence = sequence;
	newest->sequence = sequence;
	return true;
}
