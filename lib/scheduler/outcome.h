/**
 * @file outcome.h
 * @brief Decides what a caller is told of a request that was forwarded.
 *
 * A request is sent again after the connection to the leader was lost, so a
 * leader may receive it twice. A refusal promises that the job never runs. The
 * answer to the second copy does not show that while the first may be on its
 * way.
 *
 * Load: connections between schedulers that are cut or slow while the leader
 * refuses jobs because of its backlog.
 */
#ifndef GN_SCHEDULER_OUTCOME_H
#define GN_SCHEDULER_OUTCOME_H

#include <stdbool.h>

#include "job/job.h"

/**
 * Returns the result for the caller.
 * @param result the leader's answer
 * @param uncertain an earlier copy of the request may yet be carried out
 */
gn_job_result_t scheduler_get_outcome(gn_job_call_kind_t kind,
				      gn_job_result_t result, bool uncertain);

#endif
