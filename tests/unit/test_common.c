#include <glib.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "common/str.h"

typedef struct number_case_s {
	const char *name;
	const char *text;
	uint64_t max;
	gn_code_t code;
	uint64_t value;
} number_case_t;

static const number_case_t number_cases[] = {
	{ "zero", "0", 10, GN_OK, 0 },
	{ "at-max", "10", 10, GN_OK, 10 },
	{ "over-max", "11", 10, GN_ERR_RANGE, 0 },
	{ "digit-over-max", "7", 5, GN_ERR_RANGE, 0 },
	{ "empty", "", 10, GN_ERR_INVALID, 0 },
	{ "sign", "-1", 10, GN_ERR_INVALID, 0 },
	{ "trailing", "1 ", 10, GN_ERR_INVALID, 0 },
	{ "u64-max", "18446744073709551615", UINT64_MAX, GN_OK, UINT64_MAX },
	{ "u64-over", "18446744073709551616", UINT64_MAX, GN_ERR_RANGE, 0 },
};

static void test_number(const void *data)
{
	const number_case_t *c = data;
	uint64_t value = 0;

	g_assert_cmpint(gn_str_parse_u64(gn_str_from(c->text), c->max, &value),
			==, c->code);
	g_assert_cmpuint(value, ==, c->value);
}

static void test_copy(void)
{
	char small[4];

	g_assert_cmpint(gn_str_copy(small, sizeof(small), GN_STR("abc")), ==,
			GN_OK);
	g_assert_cmpstr(small, ==, "abc");
	g_assert_cmpint(gn_str_copy(small, sizeof(small), GN_STR("abcd")), ==,
			GN_ERR_RANGE);
	g_assert_cmpstr(small, ==, "");
}

static void test_clock(void)
{
	gn_clock_t clock;

	gn_clock_init_paused(&clock, 5);
	g_assert_cmpuint(gn_clock_now_us(&clock), ==, 5);
	gn_clock_advance(&clock, GN_US_PER_S);
	g_assert_cmpuint(gn_clock_now_us(&clock), ==, GN_US_PER_S + 5);
}

static void test_names(void)
{
	gn_class_t work_class = GN_CLASS_COUNT;

	for (int i = 0; i < GN_CODE_COUNT; i++)
		g_assert_nonnull(gn_code_name((gn_code_t)i));
	g_assert_cmpint(gn_class_parse(GN_STR("batch"), &work_class), ==,
			GN_OK);
	g_assert_cmpint(work_class, ==, GN_CLASS_BATCH);
	g_assert_cmpint(gn_class_parse(GN_STR("bat"), &work_class), ==,
			GN_ERR_NOT_FOUND);
}

static void test_counters(void)
{
	gn_counters_t *counters = gn_counters_create(NULL);
	gn_counter_t *counter = gn_counters_get(counters, "a.b");
	json_t *dump;

	gn_counter_add(counter, 2);
	gn_counter_inc(gn_counters_get(counters, "a.b"));
	dump = gn_counters_to_json(counters);
	g_assert_cmpint(json_integer_value(json_object_get(dump, "a.b")), ==,
			3);
	json_decref(dump);
	talloc_free(counters);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(number_cases); i++) {
		char *path = g_strdup_printf("/common/number/%s",
					     number_cases[i].name);

		g_test_add_data_func(path, &number_cases[i], test_number);
		g_free(path);
	}
	g_test_add_func("/common/copy", test_copy);
	g_test_add_func("/common/clock", test_clock);
	g_test_add_func("/common/names", test_names);
	g_test_add_func("/common/counters", test_counters);
	return g_test_run();
}
