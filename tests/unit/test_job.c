#include <glib.h>

#include "common/str.h"
#include "job/job.h"

static Gn__JobSpec *create_spec(const uint32_t *counts, size_t steps)
{
	Gn__JobSpec *spec = g_new0(Gn__JobSpec, 1);

	gn__job_spec__init(spec);
	spec->id = (char *)"0123456789abcdef";
	spec->steps = g_new0(Gn__JobStep *, steps);
	spec->n_steps = steps;
	for (size_t i = 0; i < steps; i++) {
		spec->steps[i] = g_new0(Gn__JobStep, 1);
		gn__job_step__init(spec->steps[i]);
		spec->steps[i]->count = counts[i];
	}
	return spec;
}

static void free_spec(Gn__JobSpec *spec)
{
	for (size_t i = 0; i < spec->n_steps; i++)
		g_free(spec->steps[i]);
	g_free(spec->steps);
	g_free(spec);
}

static void test_names_and_numbers(void)
{
	const uint32_t counts[] = { 2, 3 };
	Gn__JobSpec *spec = create_spec(counts, 2);
	char name[GN_TASK_NAME_SIZE];
	char id[GN_JOB_ID_LEN + 1];

	spec->repeats = 3;
	for (uint32_t number = 0; number < 15; number++) {
		gn_task_position_t place;

		gn_task_format_name(spec, number, name);
		g_assert_cmpint(gn_task_parse_name(name, id, &place), ==,
				GN_OK);
		g_assert_cmpstr(id, ==, spec->id);
		g_assert_cmpuint(
			gn_job_first_task(spec, place.occurrence, place.step) +
				place.index,
			==, number);
	}
	g_assert_cmpstr(name, ==, "0123456789abcdef.2.1.2");
	free_spec(spec);
}

static void test_invalid_names(void)
{
	static const char *const names[] = {
		"",
		"0123456789abcdef",
		"0123456789abcdef.0.0",
		"0123456789abcdeg.0.0.0",
		"0123456789abcdef.0.0.0.0",
		"0123456789abcdef.0.0.x",
		"0123456789abcdef.-1.0.0x",
	};
	char id[GN_JOB_ID_LEN + 1];
	gn_task_position_t place;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		g_assert_cmpint(gn_task_parse_name(names[i], id, &place), ==,
				GN_ERR_INVALID);
}

static void test_check(void)
{
	const uint32_t counts[] = { 2, 3 };
	Gn__JobSpec *spec = create_spec(counts, 2);
	uint32_t after = 0;
	gn_error_t error = { 0 };

	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_OK);
	spec->steps[1]->after = &after;
	spec->steps[1]->n_after = 1;
	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_OK);
	after = 1;
	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_ERR_INVALID);
	g_assert_cmpstr(error.detail, ==,
			"step 1 waits for step 1, which is not earlier");
	after = 0;
	spec->steps[0]->count = 0;
	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_ERR_RANGE);
	g_assert_cmpstr(error.detail, ==,
			"step 0 has 0 tasks, 1 to 20000 allowed");
	spec->steps[0]->count = 20;
	spec->repeats = 1000;
	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_ERR_RANGE);
	g_assert_cmpstr(error.detail, ==, "23000 tasks, 20000 allowed");
	spec->repeats = 0;
	spec->id = (char *)"short";
	g_assert_cmpint(gn_job_check(spec, &error), ==, GN_ERR_INVALID);
	free_spec(spec);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/job/names_and_numbers", test_names_and_numbers);
	g_test_add_func("/job/invalid_names", test_invalid_names);
	g_test_add_func("/job/check", test_check);
	return g_test_run();
}
