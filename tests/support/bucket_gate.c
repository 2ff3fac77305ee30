#include "support/bucket_gate.h"

const gn_batch_params_t bucket_params = {
	.promise_us = 10 * GN_US_PER_S,
	.drift_us = GN_US_PER_S,
	.retention_us = 60 * GN_US_PER_S,
	.queue = { .ageing_step_us = 60 * GN_US_PER_S,
		   .backoff_min_us = GN_US_PER_S,
		   .backoff_max_us = 60 * GN_US_PER_S },
};

static bool may_renew(void *context)
{
	return ((const bucket_gate_t *)context)->may_renew;
}

static bool may_start(void *context)
{
	return ((const bucket_gate_t *)context)->may_start;
}

static bool is_settled(void *context, uint64_t incarnation, uint64_t acked,
		       uint64_t taken_us)
{
	(void)incarnation;
	(void)acked;
	(void)taken_us;
	return ((const bucket_gate_t *)context)->settled;
}

static bool has_left(void *context, uint64_t incarnation, uint64_t revision)
{
	(void)incarnation;
	(void)revision;
	return !((const bucket_gate_t *)context)->owner_lives;
}

static uint64_t revision(void *context)
{
	(void)context;
	return 1;
}

static uint64_t acked(void *context, uint64_t incarnation)
{
	(void)context;
	(void)incarnation;
	return 0;
}

gn_batch_gate_t bucket_gate(bucket_gate_t *answers)
{
	static const gn_batch_gate_ops_t ops = { may_renew,  may_start,
						 is_settled, has_left,
						 revision,   acked };

	return (gn_batch_gate_t){ &ops, answers };
}
