#include <glib.h>
#include <stdio.h>

#include "admit/admit.h"

#define AGENT 11u
#define ENTRY 3u
#define CONNECTIONS 2
#define TASKS 2

static gn_admit_t *create_admit(void)
{
	gn_admit_config_t config = {
		.max_tasks = TASKS,
		.max_connections = CONNECTIONS,
		.host = { 8000, 1000, 2 },
		.reserve = { 2000, 100, 0 },
		.incarnation = AGENT,
		.fence = gn_fence_defaults(),
	};
	gn_admit_t *admit = gn_admit_create(NULL, &config);

	g_assert_nonnull(admit);
	return admit;
}

/**
 * Creates an agent with an applied list and an open session, and a request of
 * that session.
 */
static gn_admit_t *create_ready_admit(gn_admit_request_t *request)
{
	gn_admit_t *admit = create_admit();

	*request = (gn_admit_request_t){ ENTRY, 0, AGENT, 1 };
	g_assert_cmpint(gn_admit_open_session(admit, ENTRY, &request->session),
			==, GN_OK);
	gn_admit_begin_list(admit);
	g_assert_cmpint(gn_admit_apply_list(admit, 0, NULL, 0), ==, GN_OK);
	return admit;
}

typedef enum change_e {
	CHANGE_NONE = 0,
	CHANGE_INCARNATION,
	CHANGE_SESSION,
	CHANGE_OLDER_SESSION,
	CHANGE_CLOSED_SESSION,
	CHANGE_BACKEND,
	CHANGE_DRAINING,
	CHANGE_FULL,
	CHANGE_FENCED,
	CHANGE_STARTED,
	CHANGE_ENDED,
} change_t;

typedef struct case_s {
	const char *name;
	change_t change;
	gn_admit_reason_t reason;
	gn_outcome_t outcome;
} case_t;

static const case_t cases[] = {
	{ "admitted", CHANGE_NONE, GN_ADMIT_ADMITTED, GN_OUTCOME_UNKNOWN },
	{ "incarnation", CHANGE_INCARNATION, GN_ADMIT_INCARNATION,
	  GN_OUTCOME_NOT_RUN },
	{ "no-session", CHANGE_SESSION, GN_ADMIT_SESSION, GN_OUTCOME_NOT_RUN },
	{ "older-session", CHANGE_OLDER_SESSION, GN_ADMIT_SESSION,
	  GN_OUTCOME_NOT_RUN },
	{ "closed-session", CHANGE_CLOSED_SESSION, GN_ADMIT_SESSION,
	  GN_OUTCOME_NOT_RUN },
	{ "backend-lost", CHANGE_BACKEND, GN_ADMIT_UNLISTED,
	  GN_OUTCOME_NOT_RUN },
	{ "draining", CHANGE_DRAINING, GN_ADMIT_DRAINING, GN_OUTCOME_NOT_RUN },
	{ "full", CHANGE_FULL, GN_ADMIT_REQUESTS, GN_OUTCOME_NOT_RUN },
	{ "fenced", CHANGE_FENCED, GN_ADMIT_FENCED, GN_OUTCOME_NOT_RUN },
	{ "started", CHANGE_STARTED, GN_ADMIT_DUPLICATE, GN_OUTCOME_UNKNOWN },
	{ "ended", CHANGE_ENDED, GN_ADMIT_DUPLICATE, GN_OUTCOME_UNKNOWN },
};

static void fill_connections(gn_admit_t *admit, gn_admit_request_t request)
{
	for (unsigned i = 0; i < CONNECTIONS; i++) {
		request.request = 100 + i;
		g_assert_cmpint(gn_admit_start_request(admit, &request), ==,
				GN_ADMIT_ADMITTED);
	}
}

static void apply_change(gn_admit_t *admit, change_t change,
			 gn_admit_request_t *request)
{
	uint64_t session;

	switch (change) {
	case CHANGE_INCARNATION:
		request->agent++;
		break;
	case CHANGE_SESSION:
		request->session = 0;
		break;
	case CHANGE_OLDER_SESSION:
		gn_admit_open_session(admit, ENTRY, &session);
		g_assert_cmpuint(session, >, request->session);
		break;
	case CHANGE_CLOSED_SESSION:
		gn_admit_close_session(admit, ENTRY);
		break;
	case CHANGE_BACKEND:
		gn_admit_mark_backend_lost(admit);
		break;
	case CHANGE_DRAINING:
		gn_admit_set_draining(admit, true);
		break;
	case CHANGE_FULL:
		fill_connections(admit, *request);
		break;
	case CHANGE_FENCED:
		g_assert_true(gn_admit_cancel_request(admit, ENTRY, AGENT,
						      request->request));
		break;
	case CHANGE_STARTED:
	case CHANGE_ENDED:
		gn_admit_start_request(admit, request);
		if (change == CHANGE_ENDED)
			gn_admit_end_request(admit, ENTRY, request->request);
		break;
	default:
		break;
	}
}

static void test_case(const void *data)
{
	const case_t *c = data;
	gn_admit_request_t request;
	gn_admit_t *admit = create_ready_admit(&request);
	gn_admit_reason_t reason;

	apply_change(admit, c->change, &request);
	reason = gn_admit_start_request(admit, &request);
	g_assert_cmpstr(gn_admit_reason_name(reason), ==,
			gn_admit_reason_name(c->reason));
	g_assert_cmpint(gn_admit_outcome(reason), ==, c->outcome);
	talloc_free(admit);
}

/**
 * The sender of a refused request is told "not run", so a copy that arrives
 * later must not start.
 */
static void test_refused_stays_refused(void)
{
	gn_admit_request_t request;
	gn_admit_t *admit = create_ready_admit(&request);

	gn_admit_set_draining(admit, true);
	g_assert_cmpint(gn_admit_start_request(admit, &request), ==,
			GN_ADMIT_DRAINING);
	gn_admit_set_draining(admit, false);
	g_assert_cmpint(gn_admit_start_request(admit, &request), ==,
			GN_ADMIT_FENCED);
	talloc_free(admit);
}

static void test_foreign_requests(void)
{
	gn_admit_t *admit = create_admit();
	gn_admit_request_t request = { ENTRY, 0, AGENT, 1 };

	gn_admit_open_session(admit, ENTRY, &request.session);
	gn_admit_begin_list(admit);
	gn_admit_apply_list(admit, CONNECTIONS, NULL, 0);
	g_assert_cmpint(gn_admit_start_request(admit, &request), ==,
			GN_ADMIT_REQUESTS);
	gn_admit_begin_list(admit);
	gn_admit_apply_list(admit, CONNECTIONS - 1, NULL, 0);
	request.request++;
	g_assert_cmpint(gn_admit_start_request(admit, &request), ==,
			GN_ADMIT_ADMITTED);
	talloc_free(admit);
}

static gn_admit_task_t make_task(const char *id, uint64_t cores,
				 uint64_t memory, uint64_t accelerators)
{
	return (gn_admit_task_t){ gn_str_from(id),
				  { cores, memory, accelerators } };
}

static void test_tasks(void)
{
	gn_admit_request_t request;
	gn_admit_t *admit = create_ready_admit(&request);
	const gn_admit_task_t first = make_task("a", 3000, 300, 2);
	const struct {
		gn_admit_task_t task;
		gn_admit_reason_t reason;
	} requests[] = {
		{ first, GN_ADMIT_ADMITTED },
		{ first, GN_ADMIT_TASK_RUNNING },
		{ make_task("b", 3001, 1, 0), GN_ADMIT_CORES },
		{ make_task("b", 1, 601, 0), GN_ADMIT_MEMORY },
		{ make_task("b", 1, 1, 1), GN_ADMIT_ACCELERATORS },
		{ make_task("b", UINT64_MAX, 1, 0), GN_ADMIT_CORES },
		{ make_task("b", 3000, 600, 0), GN_ADMIT_ADMITTED },
		{ make_task("c", 0, 0, 0), GN_ADMIT_TASKS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		g_assert_cmpint(gn_admit_start_task(admit, &requests[i].task),
				==, requests[i].reason);
	g_assert_cmpint(gn_admit_end_task(admit, GN_STR("a")), ==, GN_OK);
	g_assert_cmpint(gn_admit_end_task(admit, GN_STR("a")), ==,
			GN_ERR_NOT_FOUND);
	g_assert_cmpint(gn_admit_start_task(admit, &first), ==,
			GN_ADMIT_ADMITTED);
	talloc_free(admit);
}

static void test_listed_tasks(void)
{
	gn_admit_t *admit = create_admit();
	const gn_admit_task_t over_capacity[] = { make_task("a", 8000, 10, 0),
						  make_task("b", 8000, 10, 0),
						  make_task("c", 0, 0, 0) };
	const gn_admit_task_t further = make_task("d", 0, 0, 0);
	gn_admit_info_t info;

	g_assert_cmpint(gn_admit_start_task(admit, &further), ==,
			GN_ADMIT_UNLISTED);
	gn_admit_begin_list(admit);
	gn_admit_apply_list(admit, 0, over_capacity,
			    G_N_ELEMENTS(over_capacity));
	g_assert_cmpint(gn_admit_start_task(admit, &over_capacity[0]), ==,
			GN_ADMIT_TASK_RUNNING);
	g_assert_cmpint(gn_admit_start_task(admit, &further), ==,
			GN_ADMIT_TASKS);
	gn_admit_end_task(admit, GN_STR("c"));
	gn_admit_end_task(admit, GN_STR("b"));
	g_assert_cmpint(gn_admit_start_task(admit, &further), ==,
			GN_ADMIT_CORES);
	/*
	 * Later lists only add tasks; the first list after a loss replaces
	 * them.
	 */
	gn_admit_apply_list(admit, 0, NULL, 0);
	gn_admit_info(admit, &info);
	g_assert_cmpuint(info.tasks, ==, 1);
	gn_admit_mark_backend_lost(admit);
	gn_admit_apply_list(admit, 0, NULL, 0);
	gn_admit_info(admit, &info);
	g_assert_cmpuint(info.tasks, ==, 0);
	g_assert_cmpuint(info.task_use.cores_milli, ==, 0);
	talloc_free(admit);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/admit/case/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	g_test_add_func("/admit/refused-stays", test_refused_stays_refused);
	g_test_add_func("/admit/foreign", test_foreign_requests);
	g_test_add_func("/admit/tasks", test_tasks);
	g_test_add_func("/admit/listed", test_listed_tasks);
	return g_test_run();
}
