#include "executor/starts.h"

#include <glib.h>
#include <stdlib.h>

#include "job/job.h"

/** Interval of searches for calls that can no longer be carried out. */
#define TICK_INTERVAL_US GN_US_PER_S
/** Size of the key of an attempt with its terminator, bytes. */
#define KEY_SIZE (GN_TASK_NAME_SIZE + 16)

/** The start calls for one attempt of a task. */
typedef struct attempt_s {
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	uint64_t last_us; /**< Time of the order, or of the last call. */
	unsigned unanswered; /**< Calls without an answer. */
	unsigned pending; /**< Of these, those in progress. */
	/** Of these, those sent in the worker's present life. */
	unsigned unanswered_now;
	uint64_t open_us; /**< Time of the last call without an answer. */
	/** Time of the one before. The calls for an attempt are sent one by one,
	 * so that an answer is to the last of them. */
	uint64_t open_before_us;
	bool confirmed; /**< The worker's present life has confirmed the run. */
	bool began; /**< Some life of the worker has confirmed the run. */
	/** No earlier process of the executor has sent calls. */
	bool known;
} attempt_t;

struct gn_starts_s {
	const gn_clock_t *clock;
	uint64_t late_us;
	uint64_t created_us;
	/** No earlier process has known the present ID. */
	bool knows_id;
	uint64_t tick_us; /**< Time of the next search for old calls. */
	GHashTable *table; /**< attempt_t by "TASK ATTEMPT". */
};

static int free_starts(gn_starts_t *starts)
{
	g_hash_table_destroy(starts->table);
	return 0;
}

gn_starts_t *gn_starts_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			      uint64_t late_us)
{
	gn_starts_t *starts = talloc_zero(parent, gn_starts_t);

	if (!starts)
		return NULL;
	starts->clock = clock;
	starts->late_us = late_us;
	starts->created_us = gn_clock_now_us(clock);
	starts->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(starts, free_starts);
	return starts;
}

static void write_key(char key[KEY_SIZE], const char *task, uint32_t attempt)
{
	g_snprintf(key, KEY_SIZE, "%s %u", task, attempt);
}

static attempt_t *find_attempt(const gn_starts_t *starts, const char *task,
			       uint32_t attempt)
{
	char key[KEY_SIZE];

	write_key(key, task, attempt);
	return g_hash_table_lookup(starts->table, key);
}

static attempt_t *get_attempt(gn_starts_t *starts, const char *task,
			      uint32_t attempt)
{
	attempt_t *entry = find_attempt(starts, task, attempt);
	char key[KEY_SIZE];

	if (entry)
		return entry;
	write_key(key, task, attempt);
	entry = g_new0(attempt_t, 1);
	g_strlcpy(entry->task, task, sizeof(entry->task));
	entry->attempt = attempt;
	entry->last_us = gn_clock_now_us(starts->clock);
	g_hash_table_insert(starts->table, g_strdup(key), entry);
	return entry;
}

/* Whether a call that was sent at this time cannot be carried out any more. */
static bool is_over(const gn_starts_t *starts, uint64_t sent_us)
{
	return gn_clock_now_us(starts->clock) - sent_us >= starts->late_us;
}

static bool has_open_call(const gn_starts_t *starts, const attempt_t *entry)
{
	return entry->unanswered && !is_over(starts, entry->open_us);
}

/* Returns the time for which a call sent at this time may be carried out. */
static uint64_t get_left_us(const gn_starts_t *starts, uint64_t sent_us)
{
	uint64_t age_us = gn_clock_now_us(starts->clock) - sent_us;

	return age_us < starts->late_us ? starts->late_us - age_us : 0;
}

static uint32_t round_up_ms(uint64_t us)
{
	return (uint32_t)((us + GN_US_PER_MS - 1) / GN_US_PER_MS);
}

void gn_starts_record_order(gn_starts_t *starts, const char *task,
			    uint32_t attempt, bool first)
{
	bool is_new = !find_attempt(starts, task, attempt);
	attempt_t *entry = get_attempt(starts, task, attempt);

	entry->known |= is_new && first;
}

void gn_starts_record_call(gn_starts_t *starts, const char *task,
			   uint32_t attempt)
{
	attempt_t *entry = get_attempt(starts, task, attempt);

	entry->unanswered++;
	entry->pending++;
	entry->unanswered_now++;
	entry->last_us = gn_clock_now_us(starts->clock);
	entry->open_before_us = entry->open_us;
	entry->open_us = entry->last_us;
}

void gn_starts_record_answer(gn_starts_t *starts, const char *task,
			     uint32_t attempt)
{
	attempt_t *entry = find_attempt(starts, task, attempt);

	if (!entry || !entry->unanswered)
		return;
	entry->unanswered--;
	if (entry->pending)
		entry->pending--;
	if (entry->unanswered_now)
		entry->unanswered_now--;
	entry->open_us = entry->open_before_us;
}

void gn_starts_record_silence(gn_starts_t *starts, const char *task,
			      uint32_t attempt)
{
	attempt_t *entry = find_attempt(starts, task, attempt);

	if (entry && entry->pending)
		entry->pending--;
}

void gn_starts_record_run(gn_starts_t *starts, const char *task,
			  uint32_t attempt)
{
	attempt_t *entry = get_attempt(starts, task, attempt);

	entry->confirmed = true;
	entry->began = true;
}

void gn_starts_begin_life(gn_starts_t *starts, bool same_id)
{
	GHashTableIter iter;
	gpointer value;

	if (!same_id) {
		g_hash_table_remove_all(starts->table);
		/* An earlier process has called lives of other IDs only. */
		starts->knows_id = true;
		return;
	}
	g_hash_table_iter_init(&iter, starts->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *entry = value;

		entry->confirmed = false;
		entry->unanswered_now = 0;
	}
}

bool gn_starts_is_confirmed(const gn_starts_t *starts, const char *task,
			    uint32_t attempt)
{
	const attempt_t *entry = find_attempt(starts, task, attempt);

	return entry && entry->confirmed;
}

bool gn_starts_is_settled(const gn_starts_t *starts, const char *task,
			  uint32_t attempt)
{
	const attempt_t *entry = find_attempt(starts, task, attempt);

	if (entry && has_open_call(starts, entry))
		return false;
	return (entry && entry->known) || !gn_starts_unknown_left_us(starts);
}

bool gn_starts_is_open(const gn_starts_t *starts, const char *task,
		       uint32_t attempt)
{
	const attempt_t *entry = find_attempt(starts, task, attempt);

	return entry && has_open_call(starts, entry);
}

bool gn_starts_never_began(const gn_starts_t *starts, const char *task,
			   uint32_t attempt)
{
	const attempt_t *entry = find_attempt(starts, task, attempt);

	return entry && entry->known && !entry->began && !entry->unanswered;
}

size_t gn_starts_count_open(const gn_starts_t *starts)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, starts->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += has_open_call(starts, value);
	return count;
}

bool gn_starts_are_open(const gn_starts_t *starts)
{
	return gn_starts_count_open(starts) != 0;
}

uint64_t gn_starts_unknown_until_us(const gn_starts_t *starts)
{
	return starts->knows_id ? 0 : starts->created_us + starts->late_us;
}

uint64_t gn_starts_unknown_left_us(const gn_starts_t *starts)
{
	return starts->knows_id ? 0 : get_left_us(starts, starts->created_us);
}

/* ======   Reports   ====== */

static void describe_attempt(const gn_starts_t *starts, attempt_t *entry,
			     Gn__OpenStart *row)
{
	gn__open_start__init(row);
	row->task = entry->task;
	row->attempt = entry->attempt;
	row->left_ms =
		has_open_call(starts, entry)
			? round_up_ms(get_left_us(starts, entry->open_us))
			: 0;
	row->former = !entry->unanswered_now;
	row->pending = entry->pending == entry->unanswered;
	row->in_progress = entry->pending != 0;
}

/* At the end of a life, the leader decides on claims of which it may not know who
 * has ordered their starts. */
static bool is_described(const gn_starts_t *starts, const attempt_t *entry,
			 const Gn__WorkerReport *report)
{
	return has_open_call(starts, entry) ||
	       (entry->known && (report->left || report->crashed) &&
		gn_starts_unknown_left_us(starts));
}

void gn_starts_describe(const gn_starts_t *starts, TALLOC_CTX *parent,
			Gn__WorkerReport *report)
{
	size_t open = gn_starts_count_open(starts);
	size_t max =
		MIN(g_hash_table_size(starts->table), GN_STARTS_REPORT_MAX);
	Gn__OpenStart *rows = talloc_array(parent, Gn__OpenStart, max);
	Gn__OpenStart **list = talloc_array(parent, Gn__OpenStart *, max);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	if (!rows || !list)
		abort(); /* GLib aborts too when out of memory. */
	g_hash_table_iter_init(&iter, starts->table);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!is_described(starts, value, report))
			continue;
		describe_attempt(starts, value, &rows[n]);
		list[n] = &rows[n];
		n++;
	}
	report->lists_open_starts = true;
	report->open_starts = list;
	report->n_open_starts = n;
	report->unknown_starts_ms =
		round_up_ms(open > max ? starts->late_us
				       : gn_starts_unknown_left_us(starts));
}

/* ======   Time   ====== */

static gboolean is_forgotten(gpointer key, gpointer value, gpointer data)
{
	const attempt_t *entry = value;
	const gn_starts_t *starts = data;

	(void)key;
	return is_over(starts, entry->last_us) &&
	       is_over(starts, starts->created_us);
}

void gn_starts_tick(gn_starts_t *starts)
{
	uint64_t now_us = gn_clock_now_us(starts->clock);

	if (now_us < starts->tick_us)
		return;
	starts->tick_us = now_us + TICK_INTERVAL_US;
	g_hash_table_foreach_remove(starts->table, is_forgotten, starts);
}
