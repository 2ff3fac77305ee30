/**
 * @file sched_advice.c
 * @brief Tickets: which workers a queue's policy allows to run a step.
 *
 * Answers the load of steps whose workers only an adviser knows, which takes
 * its time for each worker named and serves one call after the other. A step
 * asks about some tens of workers at once, those with the most room first, and
 * keeps what it was told: who may run a step does not change in a life.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "sched/sched_internal.h"

/** Workers of one call: the adviser's time grows with each. */
#define ASK_MAX 30
/** A ticket is used no more when it is valid for less than this. */
#define SPARE_US (250 * GN_US_PER_MS)
/** Pause after a call that was refused or lost. */
#define RETRY_US (200 * GN_US_PER_MS)
/** A call without an answer is taken as lost after this long. */
#define LOST_US (2000 * GN_US_PER_MS)

/** What is known of one worker's life. */
typedef struct ticket_s {
	char *text; /**< NULL: it may not run the step */
	uint64_t until_us;
} ticket_t;

/** What is known for a unit. */
typedef struct sched_advice_s {
	GHashTable *tickets; /**< life (interned) to ticket_t */
	GPtrArray *asked; /**< lives of the call on its way */
	uint64_t asked_us; /**< when it was sent; 0: none is */
	uint64_t due_us; /**< of the next call */
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
	g_ptr_array_free(advice->asked, TRUE);
	g_free(advice);
}

static sched_advice_t *get_advice(sched_unit_t *unit)
{
	if (unit->advice)
		return unit->advice;
	unit->advice = g_new0(sched_advice_t, 1);
	unit->advice->tickets = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_ticket);
	unit->advice->asked = g_ptr_array_new();
	return unit->advice;
}

static ticket_t *find(const sched_unit_t *unit, const char *life)
{
	return unit->advice ? g_hash_table_lookup(unit->advice->tickets, life)
			    : NULL;
}

/* ======   Use   ====== */

static bool is_valid(const gn_sched_t *sched, const ticket_t *ticket)
{
	return ticket->text &&
	       sched_now_us(sched) + SPARE_US < ticket->until_us;
}

bool sched_advice_allows(const sched_job_t *job, const sched_unit_t *unit,
			 const sched_worker_t *worker)
{
	const ticket_t *ticket = find(unit, worker->life);

	return !job->advised || (ticket && is_valid(job->sched, ticket));
}

const char *sched_advice_ticket(const sched_job_t *job,
				const sched_unit_t *unit, const char *life)
{
	const ticket_t *ticket = find(unit, life);

	return job->advised && ticket && ticket->text ? ticket->text : "";
}

void sched_advice_drop_ticket(const sched_task_t *task)
{
	const sched_unit_t *unit = &task->job->units[task->unit];

	if (unit->advice)
		g_hash_table_remove(unit->advice->tickets, task->life);
}

/* ======   Calls   ====== */

static gint compare_room(gconstpointer a, gconstpointer b)
{
	const sched_worker_t *first = *(sched_worker_t *const *)a;
	const sched_worker_t *second = *(sched_worker_t *const *)b;
	int64_t left =
		(int64_t)first->capacity.cpu_milli - first->used.cpu_milli;
	int64_t right =
		(int64_t)second->capacity.cpu_milli - second->used.cpu_milli;

	if (left != right)
		return left > right ? -1 : 1;
	return strcmp(first->host, second->host);
}

/* Those that are not known to be unfit, and have no valid ticket. */
static GPtrArray *get_unknown(gn_sched_t *sched, const sched_job_t *job,
			      const sched_unit_t *unit)
{
	GPtrArray *unknown = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_worker_t *worker = value;
		const ticket_t *ticket = find(unit, worker->life);

		if (!sched_worker_is_eligible(sched, worker, job, unit->step) ||
		    (ticket && (!ticket->text || is_valid(sched, ticket))))
			continue;
		g_ptr_array_add(unknown, value);
	}
	g_ptr_array_sort(unknown, compare_room);
	return unknown;
}

static bool may_ask(const gn_sched_t *sched, const sched_advice_t *advice)
{
	uint64_t now_us = sched_now_us(sched);

	if (advice->asked_us)
		return now_us - advice->asked_us >= LOST_US;
	return now_us >= advice->due_us;
}

void sched_advice_ask(gn_sched_t *sched, sched_job_t *job, sched_unit_t *unit)
{
	sched_advice_t *advice = get_advice(unit);
	char step[GN_TASK_NAME_SIZE];
	GPtrArray *unknown;

	if (!may_ask(sched, advice))
		return;
	unknown = get_unknown(sched, job, unit);
	g_ptr_array_set_size(advice->asked, 0);
	for (guint i = 0; i < unknown->len && i < ASK_MAX; i++) {
		const sched_worker_t *worker = g_ptr_array_index(unknown, i);

		g_ptr_array_add(advice->asked, (gpointer)worker->life);
	}
	g_ptr_array_free(unknown, TRUE);
	if (!advice->asked->len)
		return;
	advice->asked_us = sched_now_us(sched);
	snprintf(step, sizeof(step), "%s.%u.%u", job->spec->id,
		 unit->occurrence, unit->step_number);
	sched->ops->ask(sched->arg, step,
			(const char *const *)advice->asked->pdata,
			advice->asked->len);
}

/* ======   Answers   ====== */

static sched_unit_t *find_unit(const gn_sched_t *sched, const char *step)
{
	char name[GN_TASK_NAME_SIZE];
	char id[GN_JOB_ID_LEN + 1];
	gn_task_position_t place;
	sched_job_t *job;
	uint32_t number;

	snprintf(name, sizeof(name), "%s.0", step);
	if (gn_task_parse_name(name, id, &place))
		return NULL;
	job = g_hash_table_lookup(sched->jobs, id);
	if (!job || place.step >= job->spec->n_steps)
		return NULL;
	number = place.occurrence * job->spec->n_steps + place.step;
	return number < job->unit_count ? &job->units[number] : NULL;
}

static void keep(sched_advice_t *advice, const char *life, const char *text,
		 uint64_t until_us)
{
	ticket_t *ticket = g_new0(ticket_t, 1);

	ticket->text = g_strdup(text);
	ticket->until_us = until_us;
	g_hash_table_insert(advice->tickets, (gpointer)g_intern_string(life),
			    ticket);
}

void gn_sched_advise(gn_sched_t *sched, const char *step,
		     const gn_sched_ticket_t *tickets, size_t count,
		     unsigned valid_ms)
{
	sched_unit_t *unit = find_unit(sched, step);
	sched_advice_t *advice = unit ? unit->advice : NULL;
	uint64_t until_us;

	if (!advice || !advice->asked_us)
		return;
	until_us = advice->asked_us + (uint64_t)valid_ms * GN_US_PER_MS;
	advice->asked_us = 0;
	if (!valid_ms) {
		advice->due_us = sched_now_us(sched) + RETRY_US;
		return;
	}
	for (guint i = 0; i < advice->asked->len; i++)
		keep(advice, g_ptr_array_index(advice->asked, i), NULL, 0);
	for (size_t i = 0; i < count; i++)
		keep(advice, tickets[i].life, tickets[i].ticket, until_us);
	sched->changed = true;
}
