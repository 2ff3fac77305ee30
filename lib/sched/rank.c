#include "sched/rank.h"

/** Share of its work that counts for a job without slack. */
#define MIN_WORK_SHARE 0.25

gn_rank_class_t gn_rank_classify(const gn_rank_job_t *job, uint64_t now_us)
{
	uint64_t end_us = now_us + job->chain_us;
	uint64_t objective_us = job->deadline_us - job->accepted_us;

	if (end_us <= job->deadline_us)
		return GN_RANK_IN_TIME;
	if (end_us <= job->accepted_us + GN_RANK_USEFUL_FACTOR * objective_us)
		return GN_RANK_LATE;
	return GN_RANK_USELESS;
}

/* Returns the remaining work, reduced as the slack runs out. */
static double get_effective_work(const gn_rank_job_t *job, uint64_t now_us)
{
	double objective = (double)(job->deadline_us - job->accepted_us);
	double slack =
		(double)(job->deadline_us - now_us) - (double)job->chain_us;
	double share = objective > 0 ? slack / objective : 0;

	if (share < 0)
		share = 0;
	return (double)job->work *
	       (MIN_WORK_SHARE + (1 - MIN_WORK_SHARE) * share);
}

static int compare_uint64(uint64_t a, uint64_t b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

static int compare_doubles(double a, double b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

gn_rank_t gn_rank_compute(const gn_rank_job_t *job, uint64_t now_us)
{
	gn_rank_t rank = { .priority = job->priority,
			   .class = gn_rank_classify(job, now_us),
			   .effective_work = (double)job->work,
			   .accepted_us = job->accepted_us };

	if (rank.class == GN_RANK_IN_TIME)
		rank.effective_work = get_effective_work(job, now_us);
	return rank;
}

int gn_rank_compare(const gn_rank_t *a, const gn_rank_t *b)
{
	int order;

	if (a->priority != b->priority)
		return compare_uint64(a->priority, b->priority);
	if (a->class != b->class)
		return compare_uint64(a->class, b->class);
	order = compare_doubles(a->effective_work, b->effective_work);
	return order ? order : compare_uint64(a->accepted_us, b->accepted_us);
}
