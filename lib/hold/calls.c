#include "hold/calls.h"

#include <glib.h>

struct gn_calls_s {
	GHashTable *tasks; /**< GArray of gn_call_t by task. */
};

static int free_calls(gn_calls_t *calls)
{
	g_hash_table_destroy(calls->tasks);
	return 0;
}

static void free_row(gpointer data)
{
	g_array_unref(data);
}

gn_calls_t *gn_calls_create(TALLOC_CTX *parent)
{
	gn_calls_t *calls = talloc_zero(parent, gn_calls_t);

	if (!calls)
		return NULL;
	calls->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_row);
	talloc_set_destructor(calls, free_calls);
	return calls;
}

static GArray *get_row(gn_calls_t *calls, const char *task)
{
	GArray *row = g_hash_table_lookup(calls->tasks, task);

	if (row)
		return row;
	row = g_array_new(FALSE, FALSE, sizeof(gn_call_t));
	g_hash_table_insert(calls->tasks, g_strdup(task), row);
	return row;
}

void gn_calls_note(gn_calls_t *calls, const char *task, const gn_call_t *call)
{
	GArray *row = get_row(calls, task);

	for (guint i = 0; i < row->len; i++) {
		gn_call_t *known = &g_array_index(row, gn_call_t, i);

		if (known->host != call->host ||
		    known->attempt != call->attempt)
			continue;
		known->until_us = MAX(known->until_us, call->until_us);
		known->runs |= call->runs;
		known->pending &= call->pending;
		if (call->closed_ms)
			known->closed_ms = call->closed_ms;
		return;
	}
	g_array_append_val(row, *call);
}

void gn_calls_close(gn_calls_t *calls, const char *task, const char *host,
		    uint32_t attempt, gn_life_t life)
{
	GArray *row = g_hash_table_lookup(calls->tasks, task);

	for (guint i = 0; row && i < row->len; i++) {
		gn_call_t *call = &g_array_index(row, gn_call_t, i);

		if (call->host == host && call->attempt == attempt)
			call->closed_ms = life.started_ms;
	}
}

const gn_call_t *gn_calls_get(const gn_calls_t *calls, const char *task,
			      size_t *count)
{
	const GArray *row = g_hash_table_lookup(calls->tasks, task);

	*count = row ? row->len : 0;
	return row ? (const gn_call_t *)(const void *)row->data : NULL;
}

size_t gn_calls_count(const gn_calls_t *calls)
{
	return g_hash_table_size(calls->tasks);
}

static bool is_closed(const gn_call_t *call)
{
	return call->closed_ms && call->closed_ms == call->life.started_ms;
}

gn_calls_place_t gn_calls_get_place(const gn_calls_t *calls, const char *task,
				    gn_call_t *where)
{
	size_t count;
	const gn_call_t *row = gn_calls_get(calls, task, &count);

	if (!count)
		return GN_CALLS_ANYWHERE;
	/* There is one call for each attempt at a worker. */
	if (count > 1 || row->runs || is_closed(row))
		return GN_CALLS_NOWHERE;
	*where = *row;
	return GN_CALLS_ONE_LIFE;
}

uint64_t gn_calls_silent_until_us(const gn_calls_t *calls, const char *task,
				  const char *host)
{
	uint64_t until_us = 0;
	size_t count;
	const gn_call_t *row = gn_calls_get(calls, task, &count);

	for (size_t i = 0; i < count; i++)
		if (row[i].host == host && !row[i].pending)
			until_us = MAX(until_us, row[i].until_us);
	return until_us;
}

uint64_t gn_calls_open_until_us(const gn_calls_t *calls, const char *task,
				const char *host)
{
	uint64_t until_us = 0;
	size_t count;
	const gn_call_t *row = gn_calls_get(calls, task, &count);

	for (size_t i = 0; i < count; i++)
		if (row[i].host == host && !row[i].outlived)
			until_us = MAX(until_us, row[i].until_us);
	return until_us;
}

/* ======   Changes   ====== */

/* Whether the call cannot be carried out any more, and has begun no run that
 * the report does not show. */
static bool is_over(const gn_call_t *call, const char *task,
		    const gn_calls_report_t *report)
{
	gn_life_relation_t relation = gn_life_compare(call->life, report->life);
	bool is_open = report->now_us < call->until_us &&
		       (!report->is_open ||
			report->is_open(report->arg, task, call->attempt));

	if (relation == GN_LIFE_OTHER)
		return true;
	if (is_open || call->runs)
		return false;
	return relation == GN_LIFE_SAME || report->process_gone ||
	       report->listed;
}

static bool is_outlived(const gn_call_t *call, const gn_calls_report_t *report)
{
	return report->fenced && report->listed && !call->runs &&
	       gn_life_compare(call->life, report->life) == GN_LIFE_FORMER;
}

static bool update_row(GArray *row, const char *task,
		       const gn_calls_report_t *report)
{
	bool changed = false;

	for (guint i = row->len; i > 0; i--) {
		gn_call_t *call = &g_array_index(row, gn_call_t, i - 1);

		if (call->host != report->host)
			continue;
		if (gn_life_compare(call->life, report->life) == GN_LIFE_FORMER)
			call->outlived = false;
		if (report->listed || report->process_gone)
			call->runs = !report->process_gone &&
				     report->has_run(report->arg, task);
		if (is_over(call, task, report)) {
			changed |= is_closed(call) ||
				   !gn_life_matches(call->life, report->life);
			g_array_remove_index_fast(row, i - 1);
		} else if (!call->outlived && is_outlived(call, report)) {
			call->life = report->life;
			call->outlived = true;
			changed = true;
		}
	}
	return changed;
}

bool gn_calls_handle_report(gn_calls_t *calls, const gn_calls_report_t *report)
{
	bool changed = false;
	GHashTableIter iter;
	gpointer task;
	gpointer row;

	g_hash_table_iter_init(&iter, calls->tasks);
	while (g_hash_table_iter_next(&iter, &task, &row)) {
		changed |= update_row(row, task, report);
		if (!((GArray *)row)->len)
			g_hash_table_iter_remove(&iter);
	}
	return changed;
}

void gn_calls_expire(gn_calls_t *calls, uint64_t now_us, uint64_t lease_max_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *row = value;

		for (guint i = row->len; i > 0; i--)
			if (now_us >=
			    g_array_index(row, gn_call_t, i - 1).until_us +
				    lease_max_us)
				g_array_remove_index_fast(row, i - 1);
		if (!row->len)
			g_hash_table_iter_remove(&iter);
	}
}
