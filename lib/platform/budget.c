#include "platform/budget.h"

#include <assert.h>

/** Credit that one call consumes, in millionths of a call. */
#define CALL_CREDIT GN_US_PER_S
/** The reserve for urgent calls is 1/RESERVE_DIVISOR of the bucket. */
#define RESERVE_DIVISOR 4

void gn_kv_budget_init(gn_kv_budget_t *budget, uint32_t calls_per_s,
		       uint64_t now_us)
{
	assert(calls_per_s >= GN_KV_RATE_MIN);
	if (calls_per_s > GN_KV_RATE_MAX)
		calls_per_s = GN_KV_RATE_MAX;
	budget->calls_per_s = calls_per_s;
	budget->credit = calls_per_s * (uint64_t)CALL_CREDIT;
	budget->reserve = budget->credit / RESERVE_DIVISOR;
	budget->last_us = now_us;
	if (calls_per_s == 1)
		budget->reserve = 0;
}

static void refill(gn_kv_budget_t *budget, uint64_t now_us)
{
	uint64_t full = budget->calls_per_s * CALL_CREDIT;
	uint64_t elapsed_us = now_us - budget->last_us;

	budget->last_us = now_us;
	if (elapsed_us > GN_US_PER_S)
		elapsed_us = GN_US_PER_S;
	budget->credit += elapsed_us * budget->calls_per_s;
	if (budget->credit > full)
		budget->credit = full;
}

bool gn_kv_budget_try_consume(gn_kv_budget_t *budget, uint64_t now_us,
			      bool urgent)
{
	uint64_t needed = CALL_CREDIT + (urgent ? 0 : budget->reserve);

	refill(budget, now_us);
	if (budget->credit < needed)
		return false;
	budget->credit -= CALL_CREDIT;
	return true;
}
