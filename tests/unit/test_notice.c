/* Heartbeats of other writers among those of the worker. */
#include <glib.h>

#include "executor/notice.h"
#include "job/life.h"

#define WORKER "10.0.0.9:8080"
#define NOW_MS 1700000000000ULL
#define BORN_MS (NOW_MS - 5000)

typedef struct notice_case_s {
	const char *name;
	const char *address;
	uint64_t born_ms;
	uint32_t cpu_milli;
	uint64_t sequence;
	bool refused;
	bool outdated;
} notice_case_t;

/* The last heartbeat has the sequence number 7. */
static const notice_case_t cases[] = {
	{ "next", WORKER, BORN_MS, 4000, 8, false, false },
	{ "repeated", WORKER, BORN_MS, 4000, 7, false, true },
	{ "next-life", WORKER, BORN_MS + 1, 4000, 1, false, false },
	{ "without-a-start", WORKER, 0, 4000, 1, false, false },
	{ "clock-an-hour-behind", WORKER, NOW_MS + 3600000, 4000, 1, false,
	  false },
	{ "port-out-of-range", "10.0.0.9:65536", BORN_MS, 4000, 8, true,
	  false },
	{ "port-zero", "10.0.0.9:0", BORN_MS, 4000, 8, true, false },
	{ "port-of-many-digits", "10.0.0.9:99999999999999999999", BORN_MS, 4000,
	  8, true, false },
	{ "no-port", "10.0.0.9", BORN_MS, 4000, 8, true, false },
	{ "name", "worker:8080", BORN_MS, 4000, 8, true, false },
	{ "other-port", "10.0.0.9:8081", BORN_MS, 4000, 8, true, false },
	{ "other-worker", "10.0.0.8:8080", BORN_MS + 1, 4000, 1, true, false },
	{ "start-far-ahead", WORKER, NOW_MS + 2 * GN_LIFE_AHEAD_MS, 4000, 1,
	  true, false },
	{ "largest-start", WORKER, INT64_MAX, 4000, 1, true, false },
	{ "capacity-too-large", WORKER, BORN_MS, 1000000001, 8, true, false },
	{ "sequence-far-ahead", WORKER, BORN_MS, 4000, 1000008, true, false },
	{ "largest-sequence", WORKER, BORN_MS, 4000, INT64_MAX, true, false },
	{ "largest-sequence-of-the-next-life", WORKER, BORN_MS + 1, 4000,
	  INT64_MAX, false, false },
};

static gn_worker_notice_t create_notice(const char *address, uint64_t born_ms,
					uint32_t cpu_milli, uint64_t sequence)
{
	gn_worker_notice_t notice = { .life = "i-1",
				      .life_started_ms = born_ms,
				      .cpu_milli = cpu_milli,
				      .sequence = sequence };

	g_strlcpy(notice.address, address, sizeof(notice.address));
	return notice;
}

static void test_notice(const void *data)
{
	const notice_case_t *c = data;
	const gn_worker_notice_t last = create_notice(WORKER, BORN_MS, 4000, 7);
	const gn_worker_notice_t notice = create_notice(
		c->address, c->born_ms, c->cpu_milli, c->sequence);
	const gn_notice_view_t view = { WORKER, NOW_MS, &last };

	g_assert_true((gn_notice_get_fault(&notice, &view) != NULL) ==
		      c->refused);
	if (!c->refused)
		g_assert_true(gn_notice_is_outdated(&notice, &last) ==
			      c->outdated);
}

static void test_first_heartbeat_may_announce_another_address(void)
{
	const gn_worker_notice_t notice =
		create_notice("192.0.2.1:80", BORN_MS, 4000, 1);
	const gn_notice_view_t first = { WORKER, NOW_MS, NULL };
	const gn_notice_view_t next = { WORKER, NOW_MS, &notice };

	g_assert_null(gn_notice_get_fault(&notice, &first));
	g_assert_null(gn_notice_get_fault(&notice, &next));
}

static void test_heartbeats_are_taken_again_after_an_odd_sequence_number(void)
{
	const gn_worker_notice_t odd =
		create_notice(WORKER, BORN_MS, 4000, INT64_MAX);
	const gn_worker_notice_t next = create_notice(WORKER, BORN_MS, 4000, 8);

	g_assert_false(gn_notice_is_outdated(&next, &odd));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/notice/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_notice);
	}
	g_test_add_func("/notice/first_heartbeat_may_announce_another_address",
			test_first_heartbeat_may_announce_another_address);
	g_test_add_func(
		"/notice/heartbeats_are_taken_again_after_an_odd_"
		"sequence_number",
		test_heartbeats_are_taken_again_after_an_odd_sequence_number);
	return g_test_run();
}
