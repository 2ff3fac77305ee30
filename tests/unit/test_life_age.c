/* For how long a life has refused start calls for former lives. Each case is a
 * script: e and a digit set the leader's epoch, l and a digit record a list that
 * was requested with this token, any other digit lets that many seconds pass. */
#include <glib.h>

#include "common/clock.h"
#include "executor/life_age.h"

#define NEVER (-1)

typedef struct age_case_s {
	const char *name;
	uint64_t former; /**< Highest token of start calls for former lives. */
	unsigned unknown_until_s; /**< 0: no earlier process has called. */
	const char *script;
	int age_s; /**< NEVER: it may carry out calls for former lives. */
} age_case_t;

static const age_case_t cases[] = {
	{ "not-called", 7, 0, "e73", NEVER },
	{ "later-token", 7, 0, "e7l83", 3 },
	{ "first-of-them-counts", 7, 0, "e7l83l81", 4 },
	{ "token-that-was-not-raised", 7, 0, "e7l73", NEVER },
	{ "until-the-epoch-rises", 7, 0, "e7l73e8l82", 2 },
	{ "later-epoch-changes-nothing", 7, 0, "e7l81e9l92", 3 },
	{ "another-id", 0, 0, "e7l73", 3 },
	{ "without-a-leader", 0, 0, "e0l03", NEVER },
	{ "first-life", 0, 99, "e7l73", 3 },
	{ "first-life-without-a-leader", 0, 99, "e0l03", NEVER },
	{ "first-life-starts-over", 0, 99, "e7l73e82", NEVER },
	{ "first-life-under-the-next-epoch", 0, 99, "e7l73e81l82", 2 },
	{ "first-life-list-of-the-former-epoch", 0, 99, "e7l73e8l72", NEVER },
	{ "first-life-raised-token", 0, 99, "e7l84e71", 5 },
	{ "first-life-after-the-last-call-of-an-earlier-process", 0, 4,
	  "e7l73e82", 2 },
	{ "list-after-that-call", 0, 2, "e73l7e82", 2 },
	{ "first-life-counts-from-the-earlier-time", 0, 4, "e7l79", 9 },
	{ "both-conditions", 7, 99, "e7l81e92", NEVER },
	{ "both-conditions-met", 7, 99, "e7l81e9l92", 2 },
};

static unsigned read_digit(const char **script)
{
	return (unsigned)(*++*script - '0');
}

static void test_age(const void *data)
{
	const age_case_t *c = data;
	gn_life_age_t age = { .since_us = 1 };
	uint64_t now_us = GN_US_PER_S;
	uint64_t epoch = 0;
	uint32_t ms;

	gn_life_age_begin(&age, c->former, c->unknown_until_s * GN_US_PER_S);
	for (const char *event = c->script; *event; event++) {
		if (*event == 'e')
			epoch = read_digit(&event);
		else if (*event == 'l')
			gn_life_age_record_list(&age, read_digit(&event), epoch,
						now_us);
		else
			now_us += (uint64_t)(*event - '0') * GN_US_PER_S;
	}
	ms = gn_life_age_get_ms(&age, epoch, now_us);
	if (c->age_s == NEVER)
		g_assert_cmpuint(ms, ==, UINT32_MAX);
	else
		g_assert_cmpuint(ms, ==, (unsigned)c->age_s * 1000);
}

/* An age that doesn't fit is that of no list, which makes the leader wait. */
static void test_age_is_bounded(void)
{
	gn_life_age_t age = { 0 };

	gn_life_age_begin(&age, 0, 0);
	gn_life_age_record_list(&age, 7, 7, GN_US_PER_S);
	g_assert_cmpuint(
		gn_life_age_get_ms(&age, 7,
				   GN_US_PER_S + UINT32_MAX * GN_US_PER_MS),
		==, UINT32_MAX);
	g_assert_cmpuint(gn_life_age_get_ms(&age, 7, UINT64_MAX), ==,
			 UINT32_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strconcat("/life-age/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_age);
	}
	g_test_add_func("/life-age/age_is_bounded", test_age_is_bounded);
	return g_test_run();
}
