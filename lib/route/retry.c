#include "route/retry.h"

#include <assert.h>

#define MAX_SHARE_PCT 100
#define MAX_RESERVE 1000
/** Cost of one retry; the balance counts hundredths of a retry. */
#define RETRY_COST 100

struct gn_retry_budget_s {
	gn_retry_config_t config;
	unsigned balance; /**< Unused budget in hundredths of a retry. */
};

gn_retry_config_t gn_retry_defaults(void)
{
	gn_retry_config_t config = {
		.share_pct = 10,
		.reserve = 10,
		.max_attempts = 3,
	};

	return config;
}

gn_retry_budget_t *gn_retry_budget_create(TALLOC_CTX *parent,
					  const gn_retry_config_t *config)
{
	gn_retry_budget_t *budget;

	if (config->share_pct > MAX_SHARE_PCT || config->reserve > MAX_RESERVE)
		return NULL;
	if (!config->max_attempts ||
	    config->max_attempts > GN_ROUTE_ATTEMPTS_MAX)
		return NULL;
	budget = talloc_zero(parent, gn_retry_budget_t);
	if (!budget)
		return NULL;
	budget->config = *config;
	budget->balance = config->reserve * RETRY_COST / 2;
	return budget;
}

static void credit_success(gn_retry_budget_t *budget)
{
	unsigned max_balance = budget->config.reserve * RETRY_COST;

	budget->balance =
		MIN(budget->balance + budget->config.share_pct, max_balance);
}

static bool spend_retry(gn_retry_budget_t *budget)
{
	if (budget->balance < RETRY_COST)
		return false;
	budget->balance -= RETRY_COST;
	return true;
}

void gn_retry_init(gn_retry_t *retry, bool repeatable)
{
	*retry = (gn_retry_t){ .repeatable = repeatable };
}

void gn_retry_begin_attempt(gn_retry_t *retry, const gn_route_worker_t *worker)
{
	assert(!gn_route_tried_contains(&retry->tried, worker));
	assert(!retry->may_have_run || retry->repeatable);
	gn_route_tried_add(&retry->tried, worker);
	retry->has_answer = false;
}

static void record_result(gn_retry_t *retry, gn_attempt_result_t end)
{
	retry->has_answer =
		end == GN_ATTEMPT_SUCCEEDED || end == GN_ATTEMPT_FAILED;
	if (end != GN_ATTEMPT_NOT_RUN)
		retry->may_have_run = true;
}

static bool is_safe_to_repeat(const gn_retry_t *retry)
{
	return retry->repeatable || !retry->may_have_run;
}

gn_retry_decision_t gn_retry_end_attempt(gn_retry_t *retry,
					 gn_retry_budget_t *budget,
					 gn_attempt_result_t end,
					 uint64_t time_left_us,
					 uint64_t response_us)
{
	record_result(retry, end);
	if (end == GN_ATTEMPT_SUCCEEDED) {
		credit_success(budget);
		return GN_RETRY_STOP;
	}
	if (!is_safe_to_repeat(retry))
		return GN_RETRY_STOP;
	if (retry->tried.count >= budget->config.max_attempts)
		return GN_RETRY_STOP;
	if (response_us >= time_left_us)
		return GN_RETRY_STOP;
	return spend_retry(budget) ? GN_RETRY_AGAIN : GN_RETRY_STOP;
}

gn_outcome_t gn_retry_outcome(const gn_retry_t *retry)
{
	if (retry->has_answer)
		return GN_OUTCOME_DONE;
	return retry->may_have_run ? GN_OUTCOME_UNKNOWN : GN_OUTCOME_NOT_RUN;
}

unsigned gn_retry_budget_left(const gn_retry_budget_t *budget)
{
	return budget->balance / RETRY_COST;
}
