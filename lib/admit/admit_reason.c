#include "admit/admit.h"

#include <assert.h>

/** Name, outcome and error code of a reason. */
typedef struct reason_info_s {
	const char *name;
	gn_outcome_t outcome;
	gn_code_t code;
} reason_info_t;

static const reason_info_t reasons[GN_ADMIT_REASON_COUNT] = {
	[GN_ADMIT_ADMITTED] = { "admitted", GN_OUTCOME_UNKNOWN, GN_OK },
	[GN_ADMIT_INCARNATION] = { "incarnation", GN_OUTCOME_NOT_RUN,
				   GN_ERR_STALE },
	[GN_ADMIT_SESSION] = { "session", GN_OUTCOME_NOT_RUN, GN_ERR_STALE },
	[GN_ADMIT_FENCED] = { "fenced", GN_OUTCOME_NOT_RUN, GN_ERR_TIMEOUT },
	[GN_ADMIT_UNLISTED] = { "unlisted", GN_OUTCOME_NOT_RUN,
				GN_ERR_UNAVAILABLE },
	[GN_ADMIT_DRAINING] = { "draining", GN_OUTCOME_NOT_RUN,
				GN_ERR_UNAVAILABLE },
	[GN_ADMIT_REQUESTS] = { "connections", GN_OUTCOME_NOT_RUN,
				GN_ERR_CAPACITY },
	[GN_ADMIT_TASKS] = { "tasks", GN_OUTCOME_NOT_RUN, GN_ERR_CAPACITY },
	[GN_ADMIT_CORES] = { "cores", GN_OUTCOME_NOT_RUN, GN_ERR_CAPACITY },
	[GN_ADMIT_MEMORY] = { "memory", GN_OUTCOME_NOT_RUN, GN_ERR_CAPACITY },
	[GN_ADMIT_ACCELERATORS] = { "accelerators", GN_OUTCOME_NOT_RUN,
				    GN_ERR_CAPACITY },
	[GN_ADMIT_TASK_RUNNING] = { "task-running", GN_OUTCOME_UNKNOWN,
				    GN_ERR_CONFLICT },
	[GN_ADMIT_DUPLICATE] = { "duplicate", GN_OUTCOME_UNKNOWN,
				 GN_ERR_CONFLICT },
	[GN_ADMIT_NO_PROOF] = { "no-proof", GN_OUTCOME_UNKNOWN,
				GN_ERR_UNKNOWN },
	[GN_ADMIT_NO_MEMORY] = { "short", GN_OUTCOME_NOT_RUN, GN_ERR_MEMORY },
};

const char *gn_admit_reason_name(gn_admit_reason_t reason)
{
	if ((unsigned)reason >= GN_ADMIT_REASON_COUNT)
		return "invalid";
	return reasons[reason].name;
}

gn_outcome_t gn_admit_outcome(gn_admit_reason_t reason)
{
	assert((unsigned)reason < GN_ADMIT_REASON_COUNT);
	return reasons[reason].outcome;
}

gn_code_t gn_admit_code(gn_admit_reason_t reason)
{
	assert((unsigned)reason < GN_ADMIT_REASON_COUNT);
	return reasons[reason].code;
}
