/* Writes whose answer was lost, the rate budget and the backoff. */
#include "common/str.h"
#include "platform/backoff.h"
#include "platform/budget.h"
#include "platform/settle.h"

typedef struct settle_case_s {
	const char *name;
	gn_code_t code;
	size_t count;
	const char *change; /* Change id read back from the key. */
	uint64_t revision;
	uint64_t expected;
	gn_kv_write_state_t settled;
} settle_case_t;

static const settle_case_t settle_cases[] = {
	{ "done", GN_OK, 1, "mine", 6, 5, GN_KV_WRITE_APPLIED },
	{ "created", GN_OK, 1, "mine", 6, 0, GN_KV_WRITE_APPLIED },
	{ "not-yet", GN_OK, 1, "old", 5, 5, GN_KV_WRITE_PENDING },
	{ "not-yet-created", GN_ERR_NOT_FOUND, 0, "", 0, 0,
	  GN_KV_WRITE_PENDING },
	{ "overtaken", GN_OK, 1, "other", 7, 5, GN_KV_WRITE_SUPERSEDED },
	{ "deleted", GN_ERR_NOT_FOUND, 0, "", 0, 5, GN_KV_WRITE_SUPERSEDED },
	{ "copy-met-first", GN_ERR_CONFLICT, 1, "mine", 6, 5,
	  GN_KV_WRITE_APPLIED },
	{ "copy-met-other", GN_ERR_CONFLICT, 1, "other", 6, 5,
	  GN_KV_WRITE_SUPERSEDED },
	{ "older-read", GN_ERR_STALE, 0, "", 0, 5, GN_KV_WRITE_UNKNOWN },
	{ "no-read", GN_ERR_UNAVAILABLE, 0, "", 0, 5, GN_KV_WRITE_UNKNOWN },
};

static void test_settle(const void *data)
{
	const settle_case_t *c = data;
	gn_kv_entry_t entry = { .change_id = gn_str_from(c->change),
				.revision = c->revision };
	gn_kv_result_t read = { .code = c->code,
				.entries = &entry,
				.count = c->count };

	g_assert_cmpint(gn_kv_resolve_write(&read, c->expected, GN_STR("mine")),
			==, c->settled);
}

static unsigned consume_all(gn_kv_budget_t *budget, uint64_t now_us,
			    bool urgent)
{
	unsigned consumed = 0;

	while (gn_kv_budget_try_consume(budget, now_us, urgent))
		consumed++;
	return consumed;
}

static void test_budget(void)
{
	gn_kv_budget_t budget;

	gn_kv_budget_init(&budget, 40, 0);
	g_assert_cmpuint(consume_all(&budget, 0, false), ==, 30);
	g_assert_cmpuint(consume_all(&budget, 0, true), ==, 10);
	g_assert_cmpuint(consume_all(&budget, GN_US_PER_S / 2, false), ==, 10);
	/* A long pause fills the bucket but does not overfill it. */
	g_assert_cmpuint(consume_all(&budget, 100 * GN_US_PER_S, true), ==, 40);
	gn_kv_budget_init(&budget, 1, 0);
	g_assert_cmpuint(consume_all(&budget, 0, false), ==, 1);
}

static void test_backoff(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	gn_backoff_t backoff = { 0 };
	uint64_t window_us = GN_BACKOFF_MIN_US;

	for (int i = 0; i < 20; i++) {
		uint64_t wait_us = gn_backoff_next_us(&backoff, rand);

		g_assert_cmpuint(wait_us, >=, window_us / 2);
		g_assert_cmpuint(wait_us, <=, window_us);
		window_us = MIN(2 * window_us, (uint64_t)GN_BACKOFF_MAX_US);
	}
	gn_backoff_reset(&backoff);
	g_assert_cmpuint(gn_backoff_next_us(&backoff, rand), <=,
			 GN_BACKOFF_MIN_US);
	g_rand_free(rand);
}

/* A service that takes any number of calls does not raise a process's rate. */
static void test_budget_maximum(void)
{
	gn_kv_budget_t budget;

	gn_kv_budget_init(&budget, UINT32_MAX, 0);
	g_assert_cmpuint(consume_all(&budget, 0, true), ==, GN_KV_RATE_MAX);
	g_assert_cmpuint(consume_all(&budget, 10 * GN_US_PER_S, true), ==,
			 GN_KV_RATE_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(settle_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/kv/settle/%s", settle_cases[i].name);

		g_test_add_data_func(path, &settle_cases[i], test_settle);
	}
	g_test_add_func("/kv/budget", test_budget);
	g_test_add_func("/kv/budget-maximum", test_budget_maximum);
	g_test_add_func("/kv/backoff", test_backoff);
	return g_test_run();
}
