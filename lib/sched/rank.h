/**
 * @file rank.h
 * @brief The order in which jobs are given room.
 *
 * Answers the load of more work than there is room for. Queues go by their
 * priority. Within one, what can still be in time goes before what can only be
 * late, and that before what is past all use: so an overload makes few jobs
 * late instead of all. Of those that can be in time, the ones with the least
 * work left go first, since they make room again soonest for the callers that
 * they serve; a job that has little slack left counts as smaller.
 */
#ifndef GN_SCHED_RANK_H
#define GN_SCHED_RANK_H

#include <stdint.h>

/** Times the objective until which an answer is of some use. */
#define GN_RANK_USEFUL_FACTOR 3

/** A job as far as its order goes. */
typedef struct gn_rank_job_s {
	unsigned priority; /**< 0 goes first */
	uint64_t accepted_us;
	uint64_t deadline_us; /**< in time until then */
	uint64_t chain_us; /**< longest chain of work that is left */
	uint64_t work; /**< all work left, thousandths of a core times ms */
} gn_rank_job_t;

/** How a job's end will be. */
typedef enum gn_rank_class_e {
	GN_RANK_IN_TIME = 0,
	GN_RANK_LATE,
	GN_RANK_USELESS
} gn_rank_class_t;

/** A job's place among others at some time. */
typedef struct gn_rank_s {
	unsigned priority;
	gn_rank_class_t class;
	/** Work left, less if there is little slack; lower goes first. */
	double effective_work;
	uint64_t accepted_us;
} gn_rank_t;

/** What @p job can still reach at best. */
gn_rank_class_t gn_rank_classify(const gn_rank_job_t *job, uint64_t now_us);

/** The place of @p job at this time. */
gn_rank_t gn_rank_compute(const gn_rank_job_t *job, uint64_t now_us);

/** Below 0 if @p a goes before @p b, above 0 if after. */
int gn_rank_compare(const gn_rank_t *a, const gn_rank_t *b);

#endif
