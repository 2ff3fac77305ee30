/**
 * @file sched_pass.h
 * @brief What placing single tasks and gangs share.
 */
#ifndef GN_SCHED_SCHED_PASS_H
#define GN_SCHED_SCHED_PASS_H

#include "sched/sched_mix.h"

/** The workers that may be given tasks, as one pass sees them. */
typedef struct sched_candidates_s {
	sched_worker_t **workers;
	sched_mix_t *mixes; /**< their sums, where they have processors */
	gn_place_worker_t *views; /**< for the step that is being placed */
	size_t count;
	double used_fraction; /**< of all their processors, set aside by claims */
} sched_candidates_t;

/** Claims @p task at a candidate, and keeps the view of it up to date. */
void sched_claim_on_candidate(sched_candidates_t *all, size_t at,
			      sched_task_t *task, const gn_place_task_t *wanted,
			      uint32_t attempt);

/** Claims all members of a gang, or none. */
void sched_gang_place(sched_candidates_t *all, sched_job_t *job,
		      sched_unit_t *unit, const gn_place_task_t *wanted);

#endif
