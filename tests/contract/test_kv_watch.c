/*
 * Seeded random walks: in spite of faults a watch must not miss a key's change
 * or go back to an older revision, and must not exceed its rate of calls.
 */
#include <string.h>

#include "common/str.h"
#include "platform/watch.h"
#include "support/fake_kv.h"

#define STEPS 6000
#define STEP_US (20 * GN_US_PER_MS)
/** Steps without faults (20 s) within which the watch must catch up. */
#define QUIET_STEPS 1000
#define KEYS 6

typedef struct walk_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fake;
	gn_kv_watch_t *watch;
	GHashTable *view; /* Maps keys to values, from the watch's updates. */
	uint64_t revision;
	unsigned update_count;
	unsigned list_count;
} walk_t;

static void on_update(void *context, const gn_kv_update_t *news)
{
	walk_t *walk = context;

	g_assert_cmpuint(news->revision, >=, walk->revision);
	walk->revision = news->revision;
	walk->update_count++;
	if (news->is_snapshot) {
		walk->list_count++;
		g_hash_table_remove_all(walk->view);
	}
	for (size_t i = 0; i < news->count; i++) {
		const gn_kv_entry_t *entry = &news->entries[i];
		char *key = g_strndup(entry->key.data, entry->key.len);

		if (entry->deleted) {
			g_hash_table_remove(walk->view, key);
			g_free(key);
			continue;
		}
		g_hash_table_replace(
			walk->view, key,
			g_strndup(entry->value.data, entry->value.len));
	}
}

static void walk_open(walk_t *walk, guint32 seed)
{
	gn_kv_watch_options_t options = { "p/", 2000, 100, on_update, walk };

	memset(walk, 0, sizeof(*walk));
	gn_clock_init_paused(&walk->clock, GN_US_PER_S);
	walk->rand = g_rand_new_with_seed(seed);
	walk->state = kv_state_create();
	walk->fake = fake_kv_create(walk->state, &walk->clock, seed);
	walk->view =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	walk->watch = gn_kv_watch_create(NULL, fake_kv_client(walk->fake),
					 &walk->clock, walk->rand, &options);
	g_assert_nonnull(walk->watch);
}

static void walk_close(walk_t *walk)
{
	gn_kv_watch_free(walk->watch);
	g_hash_table_unref(walk->view);
	fake_kv_free(walk->fake);
	kv_state_free(walk->state);
	g_rand_free(walk->rand);
}

/* Writes or deletes a random key on behalf of another process. */
static void change_key(walk_t *walk)
{
	g_autofree char *key =
		g_strdup_printf("%s/%d", g_rand_boolean(walk->rand) ? "p" : "q",
				g_rand_int_range(walk->rand, 0, KEYS));
	g_autofree char *value = g_strdup_printf("%u", g_rand_int(walk->rand));
	uint64_t now_us = gn_clock_now_us(&walk->clock);
	uint64_t expected = 0;
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_get(walk->state, key, 0, &answer);
	if (answer.items->len)
		expected = ((kv_item_t *)answer.items->pdata[0])->revision;
	if (expected && g_rand_double(walk->rand) < 0.3) {
		kv_state_remove(walk->state, key, expected, &answer);
	} else {
		gn_kv_put_t put = { gn_str_from(key), gn_str_from(value),
				    GN_STR("x"), expected, 0 };

		kv_state_put(walk->state, now_us, &put, &answer);
	}
	kv_answer_clear(&answer);
}

static void set_random_faults(walk_t *walk)
{
	fake_kv_faults_t *faults = fake_kv_faults(walk->fake);

	faults->delay_max_us = 300 * GN_US_PER_MS;
	faults->lose_answer = 0.1;
	faults->drop_request = 0.1;
	faults->older_read = 0.2;
	faults->late = 0.1;
	faults->down = g_rand_double(walk->rand) < 0.2;
	faults->cut = g_rand_double(walk->rand) < 0.1;
	faults->frozen = g_rand_double(walk->rand) < 0.1;
}

static void walk_step(walk_t *walk)
{
	gn_clock_advance(&walk->clock, STEP_US);
	if (!fake_kv_faults(walk->fake)->frozen)
		gn_kv_watch_tick(walk->watch);
	fake_kv_run(walk->fake);
}

static void check_view(walk_t *walk)
{
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_list(walk->state, "p/", 0, &answer);
	g_assert_cmpuint(g_hash_table_size(walk->view), ==, answer.items->len);
	for (guint i = 0; i < answer.items->len; i++) {
		const kv_item_t *item = g_ptr_array_index(answer.items, i);
		gsize size;
		const char *value = g_bytes_get_data(item->value, &size);
		const char *seen = g_hash_table_lookup(walk->view, item->key);

		g_assert_nonnull(seen);
		g_assert_cmpmem(seen, strlen(seen), value, size);
	}
	kv_answer_clear(&answer);
}

static void test_walk(const void *data)
{
	const fake_kv_counts_t *counts;
	fake_kv_faults_t none;
	walk_t walk;

	walk_open(&walk, GPOINTER_TO_UINT(data));
	none = *fake_kv_faults(walk.fake);
	for (int i = 0; i < STEPS; i++) {
		if (g_rand_double(walk.rand) < 0.05)
			change_key(&walk);
		if (g_rand_double(walk.rand) < 0.02)
			set_random_faults(&walk);
		if (g_rand_double(walk.rand) < 0.005)
			kv_state_compact(walk.state);
		walk_step(&walk);
	}
	*fake_kv_faults(walk.fake) = none;
	for (int i = 0; i < QUIET_STEPS; i++)
		walk_step(&walk);
	check_view(&walk);
	counts = fake_kv_counts(walk.fake);
	g_assert_cmpuint(counts->lost, >, 0);
	g_assert_cmpuint(counts->refused, >, 0);
	g_assert_cmpuint(walk.update_count, >, 10);
	walk_close(&walk);
}

/* Constant changes must not turn the long poll into a busy loop of calls. */
static void test_call_rate(void)
{
	walk_t walk;

	walk_open(&walk, 1);
	for (int i = 0; i < 500; i++) {
		change_key(&walk);
		walk_step(&walk);
	}
	/* Changes for 10 s, with at most one call per 100 ms. */
	g_assert_cmpuint(fake_kv_counts(walk.fake)->calls, <=, 101);
	walk_close(&walk);
}

/* Simulates an outage of one minute and returns the number of calls in it. */
static uint64_t count_outage_calls(walk_t *walk)
{
	uint64_t before = fake_kv_counts(walk->fake)->calls;

	fake_kv_faults(walk->fake)->down = true;
	for (int i = 0; i < 3000; i++)
		walk_step(walk);
	return fake_kv_counts(walk->fake)->calls - before;
}

static void test_outage_rate(void)
{
	uint64_t calls;
	walk_t walk;

	/* The window soon reaches its limit: one call each 2.5 to 5 s. */
	walk_open(&walk, 1);
	calls = count_outage_calls(&walk);
	g_assert_cmpuint(calls, <=, 30);
	g_assert_cmpuint(calls, >=, 10);
	walk_close(&walk);
	walk_open(&walk, 2);
	for (int i = 0; i < 50; i++)
		walk_step(&walk);
	g_assert_cmpuint(walk.list_count, ==, 1);
	calls = count_outage_calls(&walk);
	g_assert_cmpuint(calls, <=, 30);
	g_assert_cmpuint(calls, >=, 10);
	walk_close(&walk);
}

static void test_options(void)
{
	gn_kv_watch_options_t options = { "p/", 0, 0, on_update, NULL };
	gn_clock_t clock;

	gn_clock_init_paused(&clock, 0);
	g_assert_null(gn_kv_watch_create(NULL, NULL, &clock, NULL, &options));
	options.wait_ms = GN_KV_WATCH_MAX_MS + 1;
	g_assert_null(gn_kv_watch_create(NULL, NULL, &clock, NULL, &options));
	options.wait_ms = 1;
	options.prefix = "p q";
	g_assert_null(gn_kv_watch_create(NULL, NULL, &clock, NULL, &options));
}

/* ======   Long lists   ====== */

/** A service whose lists have one key a page. */
typedef struct pages_s {
	gn_kv_t kv;
	unsigned lists; /**< Calls for the first page. */
	bool fails; /**< The second page has no answer, once. */
	gn_kv_done_t done; /**< Of the call in progress; NULL if none is. */
	void *context;
	char after[8]; /**< Key after which the page begins. */
	uint64_t watched_from; /**< Revision in the last watch call. */
	uint32_t wait_ms; /**< Wait of the last watch call. */
	unsigned cancelled; /**< Calls. */
	unsigned snapshots;
	size_t delivered; /**< Keys in the last snapshot. */
} pages_t;

static gn_kv_call_t list_page(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
			      gn_kv_done_t done, void *context)
{
	pages_t *pages = (pages_t *)(void *)kv;

	g_assert_true(gn_str_equal(prefix, GN_STR("p/")));
	gn_str_copy(pages->after, sizeof(pages->after), after);
	pages->done = done;
	pages->context = context;
	return 1;
}

static gn_kv_call_t list_first_page(gn_kv_t *kv, gn_str_t prefix,
				    gn_kv_done_t done, void *context)
{
	((pages_t *)(void *)kv)->lists++;
	return list_page(kv, prefix, GN_STR(""), done, context);
}

static gn_kv_call_t watch_pages(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
				uint32_t wait_ms, gn_kv_done_t done,
				void *context)
{
	pages_t *pages = (pages_t *)(void *)kv;

	(void)prefix;
	pages->watched_from = from;
	pages->wait_ms = wait_ms;
	pages->done = done;
	pages->context = context;
	return 2;
}

static void cancel_pages(gn_kv_t *kv, gn_kv_call_t call)
{
	g_assert_cmpuint(call, !=, 0);
	((pages_t *)(void *)kv)->cancelled++;
}

/* Answers with the key after the last one of p/a, p/b and p/c. */
static void answer_page(pages_t *pages)
{
	static const char *const keys[] = { "p/a", "p/b", "p/c" };
	const gn_error_t error = { 0 };
	gn_kv_entry_t entry = { .value = GN_STR("v"), .revision = 1 };
	gn_kv_result_t result = { .error = &error,
				  .entries = &entry,
				  .count = 1 };
	size_t page = 0;

	while (page + 1 < G_N_ELEMENTS(keys) &&
	       strcmp(keys[page], pages->after) <= 0)
		page++;
	entry.key = gn_str_from(keys[page]);
	result.revision = 10 + page;
	result.more = page + 1 < G_N_ELEMENTS(keys);
	if (page == 1 && pages->fails) {
		pages->fails = false;
		result.code = GN_ERR_UNAVAILABLE;
	}
	pages->done(pages->context, &result);
}

static void on_pages_update(void *context, const gn_kv_update_t *news)
{
	pages_t *pages = context;

	pages->snapshots += news->is_snapshot;
	pages->delivered = news->count;
	for (size_t i = 0; i < news->count; i++)
		g_assert_true(
			gn_str_equal(news->entries[i].value, GN_STR("v")));
	g_assert_cmpuint(news->revision, ==, 10);
}

static const gn_kv_ops_t pages_ops = { .list = list_first_page,
				       .list_after = list_page,
				       .watch = watch_pages,
				       .cancel = cancel_pages };

/*
 * Guards against a list whose first page is taken as all of it, so that the keys
 * of the others count as deleted.
 */
static void test_list_of_several_pages(void)
{
	pages_t pages = { .kv = { &pages_ops }, .fails = true };
	gn_kv_watch_options_t options = { "p/", 1000, 0, on_pages_update,
					  &pages };
	GRand *rand = g_rand_new_with_seed(1);
	gn_kv_watch_t *watch;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	watch = gn_kv_watch_create(NULL, &pages.kv, &clock, rand, &options);
	gn_kv_watch_tick(watch);
	answer_page(&pages);
	g_assert_cmpuint(pages.snapshots, ==, 0);
	/* The list begins anew after a failure. */
	answer_page(&pages);
	gn_clock_advance(&clock, 10 * GN_US_PER_S);
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.lists, ==, 2);
	for (unsigned i = 0; i < 3; i++)
		answer_page(&pages);
	g_assert_cmpuint(pages.snapshots, ==, 1);
	g_assert_cmpuint(pages.delivered, ==, 3);
	/* Changes since the first page are watched for. */
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.watched_from, ==, 10);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
}

/* ======   Age   ====== */

/* Answers the watch call in progress without changes. */
static void answer_watch(pages_t *pages, gn_code_t code, uint64_t sent_us)
{
	const gn_error_t error = { 0 };
	const gn_kv_result_t result = { .code = code,
					.error = &error,
					.revision = 10,
					.sent_us = sent_us };

	pages->done(pages->context, &result);
}

/* Guards against an answer that was under way for long and counts as recent. */
static void test_confirmation_counts_no_later_than_the_wait(void)
{
	pages_t pages = { .kv = { &pages_ops } };
	gn_kv_watch_options_t options = { "p/", 1000, 0, on_pages_update,
					  &pages };
	GRand *rand = g_rand_new_with_seed(1);
	const uint64_t start_us = GN_US_PER_S;
	gn_kv_watch_t *watch;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, start_us);
	watch = gn_kv_watch_create(NULL, &pages.kv, &clock, rand, &options);
	gn_kv_watch_confirm_soon(watch);
	g_assert_cmpuint(gn_kv_watch_confirmed_us(watch), ==, 0);
	gn_kv_watch_tick(watch);
	for (unsigned i = 0; i < 3; i++)
		answer_page(&pages);
	/* In time, before the wait is over. */
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 1000);
	gn_clock_advance(&clock, 600 * GN_US_PER_MS);
	answer_watch(&pages, GN_OK, start_us);
	g_assert_cmpuint(gn_kv_watch_confirmed_us(watch), ==,
			 start_us + 600 * GN_US_PER_MS);
	/* Late. */
	gn_kv_watch_tick(watch);
	gn_clock_advance(&clock, 1900 * GN_US_PER_MS);
	answer_watch(&pages, GN_OK, start_us + 600 * GN_US_PER_MS);
	g_assert_cmpuint(gn_kv_watch_confirmed_us(watch), ==,
			 start_us + 1600 * GN_US_PER_MS);
	/* A failure confirms nothing, and the next call does not wait. */
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 0);
	answer_watch(&pages, GN_ERR_UNAVAILABLE, start_us);
	g_assert_cmpuint(gn_kv_watch_confirmed_us(watch), ==,
			 start_us + 1600 * GN_US_PER_MS);
	gn_clock_advance(&clock, 10 * GN_US_PER_S);
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 0);
	answer_watch(&pages, GN_OK, gn_clock_now_us(&clock));
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 1000);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
}

/*
 * Guards against a lost answer that leaves the keys unconfirmed until the client's
 * timeout, and against a slow service whose answers are never awaited.
 */
static void test_overdue_call_is_given_up(void)
{
	pages_t pages = { .kv = { &pages_ops } };
	gn_kv_watch_options_t options = { "p/", 1000, 0, on_pages_update,
					  &pages };
	GRand *rand = g_rand_new_with_seed(1);
	unsigned limit_ms = 300;
	gn_kv_watch_t *watch;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	watch = gn_kv_watch_create(NULL, &pages.kv, &clock, rand, &options);
	gn_kv_watch_confirm_soon(watch);
	gn_kv_watch_tick(watch);
	for (unsigned i = 0; i < 3; i++)
		answer_page(&pages);
	gn_kv_watch_tick(watch);
	gn_clock_advance(&clock, 1299 * GN_US_PER_MS);
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.cancelled, ==, 0);
	gn_clock_advance(&clock, GN_US_PER_MS);
	for (unsigned i = 1; i <= 6; i++) {
		gn_kv_watch_tick(watch);
		g_assert_cmpuint(pages.cancelled, ==, i);
		g_assert_cmpuint(pages.wait_ms, ==, 0);
		limit_ms = MIN(2 * limit_ms, 4800);
		gn_clock_advance(&clock, (limit_ms - 1) * GN_US_PER_MS);
		gn_kv_watch_tick(watch);
		g_assert_cmpuint(pages.cancelled, ==, i);
		gn_clock_advance(&clock, GN_US_PER_MS);
	}
	answer_watch(&pages, GN_OK, gn_clock_now_us(&clock));
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 1000);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
}

/* Guards against keys that stay unconfirmed for a wait after a pause. */
static void test_late_answer_is_confirmed_at_once(void)
{
	pages_t pages = { .kv = { &pages_ops } };
	gn_kv_watch_options_t options = { "p/", 1000, 0, on_pages_update,
					  &pages };
	GRand *rand = g_rand_new_with_seed(1);
	gn_kv_watch_t *watch;
	gn_clock_t clock;

	gn_clock_init_paused(&clock, GN_US_PER_S);
	watch = gn_kv_watch_create(NULL, &pages.kv, &clock, rand, &options);
	gn_kv_watch_confirm_soon(watch);
	gn_kv_watch_tick(watch);
	for (unsigned i = 0; i < 3; i++)
		answer_page(&pages);
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 1000);
	gn_clock_advance(&clock, 5 * GN_US_PER_S);
	answer_watch(&pages, GN_OK, GN_US_PER_S);
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 0);
	gn_clock_advance(&clock, 400 * GN_US_PER_MS);
	answer_watch(&pages, GN_OK, 6 * GN_US_PER_S);
	g_assert_cmpuint(gn_kv_watch_confirmed_us(watch), ==, 6 * GN_US_PER_S);
	/* A slow service is not asked without pause. */
	gn_kv_watch_tick(watch);
	g_assert_cmpuint(pages.wait_ms, ==, 1000);
	gn_kv_watch_free(watch);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint seed = 1; seed <= 50; seed++) {
		g_autofree char *path =
			g_strdup_printf("/kv/watch/walk/%u", seed);

		g_test_add_data_func(path, GUINT_TO_POINTER(seed), test_walk);
	}
	g_test_add_func("/kv/watch/call-rate", test_call_rate);
	g_test_add_func("/kv/watch/outage-rate", test_outage_rate);
	g_test_add_func("/kv/watch/options", test_options);
	g_test_add_func("/kv/watch/list-of-several-pages",
			test_list_of_several_pages);
	g_test_add_func("/kv/watch/confirmation-counts-no-later-than-the-wait",
			test_confirmation_counts_no_later_than_the_wait);
	g_test_add_func("/kv/watch/overdue-call-is-given-up",
			test_overdue_call_is_given_up);
	g_test_add_func("/kv/watch/late-answer-is-confirmed-at-once",
			test_late_answer_is_confirmed_at_once);
	return g_test_run();
}
