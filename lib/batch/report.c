#include "batch/report.h"

#include <assert.h>

static const char *const state_names[GN_RUN_STATE_COUNT] = {
	[GN_RUN_RUNNING] = "running", [GN_RUN_DONE] = "done",
	[GN_RUN_FAILED] = "failed",   [GN_RUN_RELEASED] = "released",
	[GN_RUN_STOPPED] = "stopped", [GN_RUN_REFUSED] = "refused",
};

static const char *const kind_names[GN_ORDER_KIND_COUNT] = {
	[GN_ORDER_START] = "start",   [GN_ORDER_RENEW] = "renew",
	[GN_ORDER_STOP] = "stop",     [GN_ORDER_CHECKPOINT] = "checkpoint",
	[GN_ORDER_FORGET] = "forget",
};

size_t gn_batch_reports_count_running(const gn_batch_report_t *reports,
				      size_t count)
{
	size_t running = 0;

	for (size_t i = 0; i < count; i++)
		if (reports[i].state == GN_RUN_RUNNING)
			running++;
	return running;
}

const char *gn_run_state_name(gn_run_state_t state)
{
	assert((unsigned)state < GN_RUN_STATE_COUNT);
	return state_names[state];
}

const char *gn_order_kind_name(gn_order_kind_t kind)
{
	assert((unsigned)kind < GN_ORDER_KIND_COUNT);
	return kind_names[kind];
}
