#include "forecast/forecast.h"

#include <glib.h>

#include "gypsumnotch.h"
#include "sched/rank.h"

/** Standard errors by which the rate may be higher than measured. */
#define RATE_ERRORS 2

/** A refused caller. */
typedef struct refused_s {
	char *job;
	uint64_t first_us; /**< Time of the first try. */
	uint64_t due_us; /**< Time at which the caller may return. */
	double work;
} refused_t;

struct gn_forecast_s {
	GHashTable *by_job; /**< Job ID to its node in refused. */
	GQueue refused; /**< Of refused_t, owned, by first try. */
	/** Name of a queue to the time of its last accepted job, owned. */
	GHashTable *queues;
};

static void free_refused(gpointer data)
{
	refused_t *refused = data;

	g_free(refused->job);
	g_free(refused);
}

static int free_forecast(gn_forecast_t *forecast)
{
	g_hash_table_destroy(forecast->by_job);
	g_hash_table_destroy(forecast->queues);
	g_queue_clear_full(&forecast->refused, free_refused);
	return 0;
}

gn_forecast_t *gn_forecast_create(TALLOC_CTX *parent)
{
	gn_forecast_t *forecast = talloc_zero(parent, gn_forecast_t);

	if (!forecast)
		return NULL;
	forecast->by_job = g_hash_table_new(g_str_hash, g_str_equal);
	forecast->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&forecast->refused);
	talloc_set_destructor(forecast, free_forecast);
	return forecast;
}

/* ======   Refused callers   ====== */

static void forget(gn_forecast_t *forecast, GList *node)
{
	refused_t *refused = node->data;

	g_hash_table_remove(forecast->by_job, refused->job);
	g_queue_delete_link(&forecast->refused, node);
	free_refused(refused);
}

static bool is_expired(uint64_t since_us, uint64_t now_us)
{
	return now_us - since_us >= GN_FORECAST_MEMORY_MS * GN_US_PER_MS;
}

static gboolean is_queue_expired(gpointer name, gpointer accepted_us,
				 gpointer now_us)
{
	(void)name;
	return is_expired(*(uint64_t *)accepted_us, *(uint64_t *)now_us);
}

static void expire(gn_forecast_t *forecast, uint64_t now_us)
{
	GList *node;

	while ((node = g_queue_peek_head_link(&forecast->refused)) &&
	       is_expired(((refused_t *)node->data)->first_us, now_us))
		forget(forecast, node);
	/* Bounds the table when queues are renamed. */
	g_hash_table_foreach_remove(forecast->queues, is_queue_expired,
				    &now_us);
}

static bool keeps_place(const refused_t *refused, uint64_t now_us)
{
	return now_us <= refused->due_us + GN_FORECAST_GRACE_MS * GN_US_PER_MS;
}

/*
 * Returns the work of refused callers that goes ahead of the job. One that has
 * returned at its time (@p in_time) goes before those after its place @p own.
 * A larger job does not go ahead of a smaller one when it returns
 * (sched/rank.h), and one that returns too late for this job cannot.
 */
static double get_promised(const gn_forecast_t *forecast,
			   const gn_forecast_input_t *input, const GList *own,
			   bool in_time)
{
	uint64_t until_us =
		input->now_us + GN_RANK_USEFUL_FACTOR * input->objective_us;
	double work = 0;

	for (const GList *node = forecast->refused.head; node;
	     node = node->next) {
		const refused_t *refused = node->data;

		if (node == own && in_time)
			break;
		if (node != own && refused->due_us <= until_us &&
		    refused->work <= input->work &&
		    keeps_place(refused, input->now_us))
			work += refused->work;
	}
	return work;
}

/* Returns the work of all refused callers whose place is before @p own. */
static double get_places(const gn_forecast_t *forecast, const GList *own,
			 uint64_t now_us)
{
	double work = 0;

	for (const GList *node = forecast->refused.head; node && node != own;
	     node = node->next)
		if (keeps_place(node->data, now_us))
			work += ((const refused_t *)node->data)->work;
	return work;
}

/* ======   Decision   ====== */

/* Returns the time that the work takes at this rate, at most a day. */
static uint64_t get_work_us(double work, double rate_milli)
{
	const double max_us = 86400.0 * GN_US_PER_S;
	double time_us =
		rate_milli > 0 ? work / rate_milli * GN_US_PER_MS : max_us;

	return (uint64_t)MIN(time_us, max_us);
}

static uint64_t get_earliest_end_us(const gn_forecast_input_t *input,
				    double promised)
{
	double rate = input->rate_milli + RATE_ERRORS * input->spread_milli;
	uint64_t end_us =
		input->now_us +
		MAX(input->chain_us,
		    get_work_us(input->ahead + promised + input->work, rate));

	if (input->late_start_us < UINT64_MAX - input->chain_us)
		end_us = MIN(end_us, MAX(input->late_start_us, input->now_us) +
					     input->chain_us);
	return end_us;
}

static bool needs_share(const gn_forecast_t *forecast,
			const gn_forecast_input_t *input)
{
	const uint64_t *accepted_us =
		g_hash_table_lookup(forecast->queues, input->queue);

	return !accepted_us ||
	       input->now_us - *accepted_us >=
		       GN_FORECAST_QUEUE_SHARE_MS * GN_US_PER_MS;
}

static gn_forecast_reason_t find_reason(const gn_forecast_t *forecast,
					const gn_forecast_input_t *input,
					uint64_t end_us)
{
	if (input->rate_milli <= 0)
		return GN_FORECAST_NO_RATE;
	if (end_us <=
	    input->now_us + GN_RANK_USEFUL_FACTOR * input->objective_us)
		return GN_FORECAST_USEFUL;
	if (input->has_free_capacity)
		return GN_FORECAST_FREE_CAPACITY;
	if (needs_share(forecast, input))
		return GN_FORECAST_QUEUE_SHARE;
	return GN_FORECAST_NO_USE;
}

/* Returns the time until the job would be in time behind @p promised, in whole
 * seconds. */
static unsigned get_retry_ms(const gn_forecast_input_t *input, double promised)
{
	uint64_t done_us = get_work_us(input->ahead + promised + input->work,
				       input->rate_milli);
	uint64_t wait_us = done_us > input->objective_us
				   ? done_us - input->objective_us
				   : 0;
	uint64_t wait_ms = (wait_us + GN_US_PER_S - 1) / GN_US_PER_S * 1000;

	return (unsigned)CLAMP(wait_ms, GN_FORECAST_RETRY_MIN_MS,
			       GN_FORECAST_RETRY_MAX_MS);
}

static void accept_job(gn_forecast_t *forecast,
		       const gn_forecast_input_t *input, GList *node)
{
	if (node)
		forget(forecast, node);
	g_hash_table_insert(forecast->queues, g_strdup(input->queue),
			    g_memdup2(&input->now_us, sizeof(input->now_us)));
}

static unsigned refuse_job(gn_forecast_t *forecast,
			   const gn_forecast_input_t *input, GList *node)
{
	refused_t *refused = node ? node->data : NULL;
	unsigned retry_ms;

	/* A caller who returns too early keeps its time. */
	if (refused && input->now_us < refused->due_us)
		return (unsigned)((refused->due_us - input->now_us +
				   GN_US_PER_S - 1) /
				  GN_US_PER_S * 1000);
	retry_ms =
		get_retry_ms(input, get_places(forecast, node, input->now_us));
	if (!refused) {
		/* Those refused first keep their places. */
		if (forecast->refused.length >= GN_FORECAST_REFUSED_MAX)
			return retry_ms;
		refused = g_new0(refused_t, 1);
		refused->job = g_strdup(input->job);
		refused->first_us = input->now_us;
		g_queue_push_tail(&forecast->refused, refused);
		g_hash_table_insert(forecast->by_job, refused->job,
				    forecast->refused.tail);
	}
	refused->work = input->work;
	refused->due_us = input->now_us + retry_ms * GN_US_PER_MS;
	return retry_ms;
}

gn_forecast_decision_t gn_forecast_decide(gn_forecast_t *forecast,
					  const gn_forecast_input_t *input)
{
	gn_forecast_decision_t decision = { 0 };
	bool in_time;
	GList *node;

	expire(forecast, input->now_us);
	node = g_hash_table_lookup(forecast->by_job, input->job);
	/* A caller who returns too early is treated as one that comes first. */
	in_time = node && ((refused_t *)node->data)->due_us <= input->now_us;
	decision.returned = node != NULL;
	decision.promised = get_promised(forecast, input, node, in_time);
	if (input->rate_milli > 0)
		decision.end_us = get_earliest_end_us(input, decision.promised);
	decision.reason = find_reason(forecast, input, decision.end_us);
	if (decision.reason == GN_FORECAST_NO_USE)
		decision.retry_ms = refuse_job(forecast, input, node);
	else
		accept_job(forecast, input, node);
	return decision;
}

size_t gn_forecast_count_refused(const gn_forecast_t *forecast)
{
	return forecast->refused.length;
}

const char *gn_forecast_reason_name(gn_forecast_reason_t reason)
{
	static const char *const names[GN_FORECAST_REASON_COUNT] = {
		[GN_FORECAST_NOT_ASKED] = "not asked",
		[GN_FORECAST_USEFUL] = "useful",
		[GN_FORECAST_NO_RATE] = "no rate",
		[GN_FORECAST_FREE_CAPACITY] = "free capacity",
		[GN_FORECAST_QUEUE_SHARE] = "queue share",
		[GN_FORECAST_NO_USE] = "no use",
	};

	return names[reason];
}
