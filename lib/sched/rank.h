/**
 * @file rank.h
 * @brief Order in which jobs are given resources.
 *
 * The order decides who is served when demand exceeds capacity. Queues are
 * served by priority. Within a priority, jobs that can still meet their
 * deadline go before jobs that can only be late, and those before jobs whose
 * result is no longer useful. So an overload makes few jobs late instead of
 * all. Between the first two come jobs that could meet their deadline alone,
 * but not with the work ahead of them; sched/feasibility.h finds them. Among
 * the jobs that can meet their deadline, those with the least remaining work go
 * first, since they free resources soonest per caller served; a job with little
 * slack left counts as smaller.
 */
#ifndef GN_SCHED_RANK_H
#define GN_SCHED_RANK_H

#include <stdint.h>

/** The result of a job is of some use until this multiple of its objective. */
#define GN_RANK_USEFUL_FACTOR 3

/** Properties of a job that its rank depends on. */
typedef struct gn_rank_job_s {
	unsigned priority; /**< 0 is the highest priority. */
	uint64_t accepted_us;
	uint64_t deadline_us; /**< A job that ends by this time is in time. */
	uint64_t chain_us; /**< Longest remaining chain of dependent steps. */
	uint64_t work; /**< Remaining work, thousandths of a core times ms. */
} gn_rank_job_t;

/** Best outcome that a job can still reach. */
typedef enum gn_rank_class_e {
	GN_RANK_IN_TIME = 0,
	/** It could meet its deadline, but for the work ahead of it. */
	GN_RANK_INFEASIBLE,
	GN_RANK_LATE,
	GN_RANK_USELESS
} gn_rank_class_t;

/** Sort key of a job at some time. */
typedef struct gn_rank_s {
	unsigned priority;
	gn_rank_class_t class;
	/** Remaining work, reduced if slack is short; the least goes first. */
	double effective_work;
	uint64_t accepted_us;
} gn_rank_t;

/** Returns the best outcome that @p job can still reach. */
gn_rank_class_t gn_rank_classify(const gn_rank_job_t *job, uint64_t now_us);

/** Computes the sort key of @p job at time @p now_us. */
gn_rank_t gn_rank_compute(const gn_rank_job_t *job, uint64_t now_us);

/**
 * Compares two sort keys.
 * @return a value below 0 if @p a goes before @p b, above 0 if after
 */
int gn_rank_compare(const gn_rank_t *a, const gn_rank_t *b);

#endif
