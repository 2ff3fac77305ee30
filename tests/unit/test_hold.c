/* Tests whether requests wait while no scheduler leads. */
#include <glib.h>

#include "scheduler/hold.h"

#define MS GN_US_PER_MS
#define LEASE_US (1000 * MS)
/** Time at which the last leader of a case served. */
#define SERVED_US (100 * GN_US_PER_S)

typedef struct hold_case_s {
	const char *name;
	uint64_t served_us;
	uint64_t store_silent_us;
	uint64_t absent_us;
	bool held;
} hold_case_t;

static const hold_case_t hold_cases[] = {
	{ "leader-killed", SERVED_US, 0, 0, true },
	{ "lease-running", SERVED_US, 200 * MS, 900 * MS, true },
	{ "election", SERVED_US, 200 * MS, LEASE_US + 300 * MS, true },
	{ "no-election", SERVED_US, 200 * MS, 2 * LEASE_US, false },
	{ "store-away", SERVED_US, 1600 * MS, 900 * MS, false },
	{ "never-led", 0, 0, 0, false },
};

static void test_hold(gconstpointer data)
{
	const hold_case_t *c = data;
	const uint64_t now_us = SERVED_US + c->absent_us;
	const scheduler_absence_t absence = {
		.served_us = c->served_us,
		.store_answered_us = now_us - c->store_silent_us,
		.lease_us = LEASE_US,
	};

	g_assert_true(scheduler_hold_is_useful(&absence, now_us) == c->held);
}

/*
 * Requests arrive every 10 ms from the kill of a leader on, and the next one
 * serves after a lease and a round trip. Without holding, all that arrive
 * before it are refused.
 */
static void test_nobody_is_refused_during_an_election(void)
{
	const uint64_t next_us = SERVED_US + LEASE_US + 100 * MS;
	unsigned refused = 0;

	for (uint64_t now_us = SERVED_US; now_us < next_us; now_us += 10 * MS) {
		const scheduler_absence_t absence = {
			.served_us = SERVED_US,
			.store_answered_us = now_us - 100 * MS,
			.lease_us = LEASE_US,
		};

		refused += !scheduler_hold_is_useful(&absence, now_us);
	}
	g_assert_cmpuint(refused, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(hold_cases); i++) {
		char *path = g_strdup_printf("/hold/%s", hold_cases[i].name);

		g_test_add_data_func(path, &hold_cases[i], test_hold);
		g_free(path);
	}
	g_test_add_func("/hold/nobody-is-refused-during-an-election",
			test_nobody_is_refused_during_an_election);
	return g_test_run();
}
