#include <glib.h>

#include "confirm/confirm.h"

#define NOW_US (1000 * (uint64_t)GN_US_PER_S)
#define BOUND_MS 2000

typedef struct confirm_case_s {
	const char *name;
	unsigned age_ms; /**< Of the confirmation; 0: never confirmed. */
	bool service_answers;
	bool has_queue;
	bool needs_queue;
	unsigned waited_ms;
	gn_confirm_decision_t decision;
} confirm_case_t;

static const confirm_case_t cases[] = {
	{ "recent-known-queue", 1000, true, true, true, 0, GN_CONFIRM_ANSWER },
	{ "recent-unknown-queue", 1700, true, false, true, 0,
	  GN_CONFIRM_ANSWER },
	{ "old-unknown-queue", 1701, true, false, true, 0, GN_CONFIRM_WAIT },
	{ "old-unknown-queue-in-an-outage", 1701, false, false, true, 0,
	  GN_CONFIRM_WAIT },
	{ "old-unknown-queue-after-the-wait", 6000, true, false, true, 300,
	  GN_CONFIRM_REFUSE },
	{ "confirmed-during-the-wait", 1, true, false, true, 300,
	  GN_CONFIRM_ANSWER },
	{ "old-known-queue", 1701, true, true, true, 299, GN_CONFIRM_WAIT },
	{ "old-known-queue-after-the-wait", 1701, true, true, true, 300,
	  GN_CONFIRM_REFUSE },
	{ "old-known-queue-in-an-outage", 9000, false, true, true, 0,
	  GN_CONFIRM_ANSWER },
	{ "old-state-of-a-job", 9000, true, true, false, 0, GN_CONFIRM_ANSWER },
	{ "never-confirmed", 0, true, false, true, 0, GN_CONFIRM_WAIT },
};

static void test_decision(const void *data)
{
	const confirm_case_t *c = data;
	const gn_confirm_view_t view = {
		.now_us = NOW_US,
		.confirmed_us =
			c->age_ms ? NOW_US - c->age_ms * (uint64_t)GN_US_PER_MS
				  : 0,
		.bound_ms = BOUND_MS,
		.service_answers = c->service_answers,
		.has_queue = c->has_queue,
		.needs_queue = c->needs_queue,
		.received_us = NOW_US - c->waited_ms * (uint64_t)GN_US_PER_MS,
	};

	g_assert_cmpint(gn_confirm_decide(&view), ==, c->decision);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/confirm/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_decision);
	}
	return g_test_run();
}
