/**
 * @file sched_advice.c
 * @brief Tickets, which permit a worker to run the tasks of a step.
 *
 * For queues with this policy, only an external adviser knows which workers may
 * run a step. The adviser handles one request at a time and takes longer for
 * each worker named in it. So a request covers some tens of workers, those with
 * the most free CPU first, and the response is cached: whether a worker may run
 * a step does not change during the worker's life.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "sched/sched_internal.h"

/** Workers in one request; each one lengthens the adviser's response time. */
#define LIVES_PER_REQUEST_MAX 30
/** A ticket must be valid for longer than this to be used. */
#define TICKET_MARGIN_US (250 * GN_US_PER_MS)
/** Delay after a request that was refused or got no response. */
#define REQUEST_RETRY_US (200 * GN_US_PER_MS)
/** Time after which a request counts as lost. */
#define REQUEST_TIMEOUT_US (2000 * GN_US_PER_MS)

/** The adviser's response for one life of a worker. */
typedef struct ticket_s {
	uint64_t life_started_ms; /**< The life that it was asked for. */
	char *text; /**< NULL if the worker may not run the step. */
	uint64_t valid_until_us;
} ticket_t;

/** Cached responses and the current request of a unit. */
typedef struct sched_advice_s {
	GHashTable *tickets; /**< ID of a life (interned) to ticket_t. */
	GArray *requested_lives; /**< gn_life_t in the current request. */
	uint64_t requested_us; /**< Time of the current request; 0 if none. */
	uint64_t retry_us; /**< Time before which no request is sent. */
} sched_advice_t;

static void free_ticket(gpointer data)
{
	ticket_t *ticket = data;

	g_free(ticket->text);
	g_free(ticket);
}

void sched_advice_free(sched_advice_t *advice)
{
	if (!advice)
		return;
	g_hash_table_destroy(advice->tickets);
	g_array_unref(advice->requested_lives);
	g_free(advice);
}

static sched_advice_t *get_or_create_advice(sched_unit_t *unit)
{
	if (unit->advice)
		return unit->advice;
	unit->advice = g_new0(sched_advice_t, 1);
	unit->advice->tickets = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_ticket);
	unit->advice->requested_lives =
		g_array_new(FALSE, FALSE, sizeof(gn_life_t));
	return unit->advice;
}

/* Returns NULL, too, if the ticket is that of another life with this ID. */
static ticket_t *find_ticket(const sched_unit_t *unit, gn_life_t life)
{
	ticket_t *ticket =
		unit->advice
			? g_hash_table_lookup(unit->advice->tickets, life.id)
			: NULL;

	if (!ticket ||
	    !gn_life_matches(life,
			     (gn_life_t){ life.id, ticket->life_started_ms }))
		return NULL;
	return ticket;
}

/* ======   Use   ====== */

static bool is_valid(const gn_sched_t *sched, const ticket_t *ticket)
{
	return ticket->text &&
	       sched_now_us(sched) + TICKET_MARGIN_US < ticket->valid_until_us;
}

bool sched_advice_allows(const sched_job_t *job, const sched_unit_t *unit,
			 const sched_worker_t *worker)
{
	const ticket_t *ticket = find_ticket(unit, worker->life);

	return !job->advised || (ticket && is_valid(job->sched, ticket));
}

const char *sched_advice_ticket(const sched_job_t *job,
				const sched_unit_t *unit, gn_life_t life)
{
	const ticket_t *ticket = find_ticket(unit, life);

	return job->advised && ticket && ticket->text ? ticket->text : "";
}

void sched_advice_drop_ticket(const sched_task_t *task)
{
	const sched_unit_t *unit = task->unit;

	if (unit->advice)
		g_hash_table_remove(unit->advice->tickets, task->life.id);
}

/* ======   Requests   ====== */

static gint compare_free_cpu(gconstpointer a, gconstpointer b)
{
	const sched_worker_t *first = *(sched_worker_t *const *)a;
	const sched_worker_t *second = *(sched_worker_t *const *)b;
	int64_t first_free =
		(int64_t)first->capacity.cpu_milli - first->used.cpu_milli;
	int64_t second_free =
		(int64_t)second->capacity.cpu_milli - second->used.cpu_milli;

	if (first_free != second_free)
		return first_free > second_free ? -1 : 1;
	return strcmp(first->host, second->host);
}

/* Finds eligible workers that have neither a refusal nor a valid ticket. */
static GPtrArray *find_workers_without_ticket(gn_sched_t *sched,
					      const sched_job_t *job,
					      const sched_unit_t *unit)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_worker_t *worker = value;
		const ticket_t *ticket = find_ticket(unit, worker->life);

		if (!sched_worker_is_eligible(sched, worker, job, unit->step) ||
		    (ticket && (!ticket->text || is_valid(sched, ticket))))
			continue;
		g_ptr_array_add(workers, value);
	}
	g_ptr_array_sort(workers, compare_free_cpu);
	return workers;
}

static bool is_request_due(const gn_sched_t *sched,
			   const sched_advice_t *advice)
{
	uint64_t now_us = sched_now_us(sched);

	if (advice->requested_us)
		return now_us - advice->requested_us >= REQUEST_TIMEOUT_US;
	return now_us >= advice->retry_us;
}

void sched_advice_request_tickets(gn_sched_t *sched, sched_job_t *job,
				  sched_unit_t *unit)
{
	sched_advice_t *advice = get_or_create_advice(unit);
	char step[GN_TASK_NAME_SIZE];
	GPtrArray *workers;
	const char *ids[LIVES_PER_REQUEST_MAX];

	if (!is_request_due(sched, advice))
		return;
	workers = find_workers_without_ticket(sched, job, unit);
	g_array_set_size(advice->requested_lives, 0);
	for (guint i = 0; i < workers->len && i < LIVES_PER_REQUEST_MAX; i++) {
		const sched_worker_t *worker = g_ptr_array_index(workers, i);

		g_array_append_val(advice->requested_lives, worker->life);
		ids[i] = worker->life.id;
	}
	g_ptr_array_free(workers, TRUE);
	if (!advice->requested_lives->len)
		return;
	advice->requested_us = sched_now_us(sched);
	snprintf(step, sizeof(step), "%s.%u.%u", job->spec->id,
		 unit->occurrence, unit->step_number);
	sched->ops->request_advice(sched->arg, step, ids,
				   advice->requested_lives->len);
}

/* ======   Responses   ====== */

static sched_unit_t *find_unit(const gn_sched_t *sched, const char *step)
{
	char name[GN_TASK_NAME_SIZE];
	char id[GN_JOB_ID_LEN + 1];
	gn_task_position_t place;
	sched_job_t *job;

	snprintf(name, sizeof(name), "%s.0", step);
	if (gn_task_parse_name(name, id, &place))
		return NULL;
	job = g_hash_table_lookup(sched->jobs, id);
	return job ? sched_job_find_unit(job, place.occurrence, place.step)
		   : NULL;
}

static void store_ticket(sched_advice_t *advice, gn_life_t life,
			 const char *text, uint64_t valid_until_us)
{
	ticket_t *ticket = g_new0(ticket_t, 1);

	ticket->life_started_ms = life.started_ms;
	ticket->text = g_strdup(text);
	ticket->valid_until_us = valid_until_us;
	g_hash_table_insert(advice->tickets, (gpointer)g_intern_string(life.id),
			    ticket);
}

/* Completes the ID in a response by the start that the request was for. */
static gn_life_t get_requested_life(const sched_advice_t *advice,
				    const char *id)
{
	for (guint i = 0; i < advice->requested_lives->len; i++) {
		gn_life_t life =
			g_array_index(advice->requested_lives, gn_life_t, i);

		if (!strcmp(life.id, id))
			return life;
	}
	return (gn_life_t){ .id = id };
}

void gn_sched_handle_advice(gn_sched_t *sched, const char *step,
			    const gn_sched_ticket_t *tickets, size_t count,
			    unsigned valid_ms)
{
	sched_unit_t *unit = find_unit(sched, step);
	sched_advice_t *advice = unit ? unit->advice : NULL;
	uint64_t valid_until_us;

	if (!advice || !advice->requested_us)
		return;
	valid_until_us =
		advice->requested_us + (uint64_t)valid_ms * GN_US_PER_MS;
	advice->requested_us = 0;
	if (!valid_ms) {
		advice->retry_us = sched_now_us(sched) + REQUEST_RETRY_US;
		return;
	}
	for (guint i = 0; i < advice->requested_lives->len; i++)
		store_ticket(
			advice,
			g_array_index(advice->requested_lives, gn_life_t, i),
			NULL, 0);
	for (size_t i = 0; i < count; i++)
		store_ticket(advice,
			     get_requested_life(advice, tickets[i].life),
			     tickets[i].ticket, valid_until_us);
	sched->changed = true;
}
