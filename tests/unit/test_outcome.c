#include <glib.h>

#include "scheduler/outcome.h"

typedef struct outcome_case_s {
	const char *name;
	gn_job_call_kind_t kind;
	gn_job_result_t result;
	bool uncertain;
	gn_job_result_t outcome;
} outcome_case_t;

static const outcome_case_t cases[] = {
	{ "refusal_of_a_copy_hides_an_accepted_job", GN_CALL_SUBMIT,
	  GN_RESULT_REFUSED, true, GN_RESULT_UNKNOWN },
	{ "refusal_is_unknown_to_its_caller", GN_CALL_SUBMIT, GN_RESULT_REFUSED,
	  false, GN_RESULT_REFUSED },
	{ "acceptance_of_a_copy_is_unknown", GN_CALL_SUBMIT, GN_RESULT_OK, true,
	  GN_RESULT_OK },
	{ "missing_queue_is_unknown", GN_CALL_SUBMIT, GN_RESULT_NO_QUEUE, true,
	  GN_RESULT_NO_QUEUE },
	/* A copy that a leader gives up says nothing of the first. */
	{ "no_leader", GN_CALL_SUBMIT, GN_RESULT_NOT_LEADER, false,
	  GN_RESULT_NOT_LEADER },
	{ "no_leader_for_a_copy", GN_CALL_SUBMIT, GN_RESULT_NOT_LEADER, true,
	  GN_RESULT_UNKNOWN },
	{ "no_leader_for_a_copy_of_a_cancel", GN_CALL_CANCEL,
	  GN_RESULT_NOT_LEADER, true, GN_RESULT_UNKNOWN },
	{ "no_leader_for_a_copy_of_a_query", GN_CALL_STATE,
	  GN_RESULT_NOT_LEADER, true, GN_RESULT_NOT_LEADER },
	{ "state_from_a_copy_is_unknown", GN_CALL_STATE, GN_RESULT_NOT_FOUND,
	  true, GN_RESULT_NOT_FOUND },
};

static void test_outcome(gconstpointer data)
{
	const outcome_case_t *c = data;

	g_assert_cmpint(scheduler_get_outcome(c->kind, c->result, c->uncertain),
			==, c->outcome);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/outcome/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_outcome);
	}
	return g_test_run();
}
