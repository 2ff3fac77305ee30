/**
 * @file sched_crash_events.c
 * @brief Crashes of the recent past, and whether a task is known to be their
 *        cause.
 */
#include <inttypes.h>
#include <string.h>

#include "sched/sched_internal.h"

#define KEPT_US (GN_CRASH_FLEET_MS * GN_US_PER_MS)
/** Most crashes that are kept, which bounds the time to search them. */
#define EVENTS_MAX 1024

/** Crash of a worker. */
typedef struct sched_crash_event_s {
	/** "HOST LIFE START"; owned. "HOST " if the crash was before this
	 * leader's time. */
	char *worker;
	uint64_t time_us;
	bool explained; /**< By a task that crashed a worker in isolation. */
	bool attended; /**< A task that had just begun may have caused it. */
} sched_crash_event_t;

static void clear_event(gpointer data)
{
	sched_crash_event_t *event = data;

	g_free(event->worker);
}

GArray *sched_crash_create_events(void)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(sched_crash_event_t));

	g_array_set_clear_func(events, clear_event);
	return events;
}

char *sched_crash_name_worker(const char *host, gn_life_t life)
{
	return g_strdup_printf("%s %s %" PRIu64, host, life.id,
			       life.started_ms);
}

static sched_crash_event_t *find_event(const gn_sched_t *sched,
				       const char *worker)
{
	for (guint i = 0; i < sched->crash_events->len; i++) {
		sched_crash_event_t *event = &g_array_index(
			sched->crash_events, sched_crash_event_t, i);

		if (!strcmp(event->worker, worker))
			return event;
	}
	return NULL;
}

static void drop_old_events(const gn_sched_t *sched)
{
	GArray *events = sched->crash_events;
	uint64_t now_us = sched_now_us(sched);

	while (events->len &&
	       (events->len > EVENTS_MAX ||
		now_us - g_array_index(events, sched_crash_event_t, 0)
					.time_us >=
			KEPT_US))
		g_array_remove_index(events, 0);
}

void sched_crash_add_event(const gn_sched_t *sched, const char *host,
			   gn_life_t life, bool attended)
{
	sched_crash_event_t event = { .worker = sched_crash_name_worker(host,
									life),
				      .time_us = sched_now_us(sched),
				      .attended = attended };

	drop_old_events(sched);
	if (find_event(sched, event.worker))
		clear_event(&event);
	else
		g_array_append_val(sched->crash_events, event);
}

void sched_crash_infer_event(const gn_sched_t *sched, const char *host,
			     gn_life_t life)
{
	uint64_t now_ms = sched_wall_ms(sched);
	sched_crash_event_t event = {
		.time_us = sched_now_us(sched),
		.attended = true,
	};

	if (life.started_ms + GN_CRASH_FLEET_MS < now_ms)
		return;
	event.worker = g_strdup_printf("%s ", host);
	drop_old_events(sched);
	g_array_append_val(sched->crash_events, event);
}

void sched_crash_explain_events(const sched_task_t *cause)
{
	const GPtrArray *workers = cause->crashes.workers;

	for (guint i = 0; workers && i < workers->len; i++) {
		sched_crash_event_t *event = find_event(
			cause->job->sched, g_ptr_array_index(workers, i));

		if (event)
			event->explained = true;
	}
}

void sched_crash_add_fleet_evidence(const sched_task_t *task, const char *host,
				    gn_crash_evidence_t *evidence)
{
	const gn_sched_t *sched = task->job->sched;
	size_t len = strlen(host);

	drop_old_events(sched);
	evidence->workers = g_hash_table_size(sched->workers);
	for (guint i = 0; i < sched->crash_events->len; i++) {
		const sched_crash_event_t *event = &g_array_index(
			sched->crash_events, sched_crash_event_t, i);

		if (event->explained ||
		    sched_crash_has_worker(task, event->worker))
			continue;
		evidence->elsewhere += event->attended ? 1 : 2;
		evidence->host_crashes += !strncmp(event->worker, host, len) &&
					  event->worker[len] == ' ';
	}
}
