/**
 * Unit tests of the view and of worker selection, and seeded random runs that
 * compare each selection with a search over all workers. Each mutant hides one
 * fact from the view; a run must then find a violation.
 */
#include <glib.h>
#include <stdio.h>

#include "route/pick.h"

#define SERVICE GN_STR("planner")
#define HERE GN_STR("here")
#define THERE GN_STR("there")
#define MAX_CONNECTIONS 4

static gn_route_worker_t *put_worker(gn_route_view_t *view, const char *name,
				     gn_str_t data_centre, uint64_t incarnation)
{
	gn_route_worker_t *worker = NULL;
	gn_route_spec_t spec = {
		.name = gn_str_from(name),
		.service = SERVICE,
		.data_centre = data_centre,
		.max_connections = MAX_CONNECTIONS,
		.one_way_us = gn_str_equal(data_centre, HERE) ? 50 : 1000,
		.incarnation = incarnation,
	};

	g_assert_cmpint(gn_route_view_put(view, &spec, &worker), ==, GN_OK);
	return worker;
}

static void report_load(gn_route_view_t *view, const gn_clock_t *clock,
			gn_route_worker_t *worker, unsigned running,
			bool draining)
{
	gn_route_report_t report = {
		.running_requests = running,
		.service_time_us = 5000,
		.draining = draining,
		.backend_up = true,
		.received_us = gn_clock_now_us(clock),
	};

	gn_route_view_report(view, worker, &report);
}

/* ======   Unit tests   ====== */

typedef struct fixture_s {
	gn_clock_t clock;
	gn_route_view_t *view;
	GRand *rand;
	const gn_route_policy_t *policy;
} fixture_t;

static void setup(fixture_t *f)
{
	gn_clock_init_paused(&f->clock, GN_US_PER_S);
	f->view = gn_route_view_create(NULL, &f->clock, HERE);
	f->rand = g_rand_new_with_seed(1);
	f->policy = &gn_route_policies[GN_ROUTE_TWO_CHOICES];
}

static void teardown(fixture_t *f)
{
	talloc_free(f->view);
	g_rand_free(f->rand);
}

static gn_code_t pick(fixture_t *f, const gn_route_tried_t *tried,
		      gn_route_choice_t *choice)
{
	return gn_route_pick(f->policy, f->view, SERVICE, f->rand, tried,
			     choice);
}

static void test_codes(void)
{
	gn_route_choice_t choice;
	gn_route_tried_t tried = { .count = 0 };
	gn_route_worker_t *worker;
	fixture_t f;

	setup(&f);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_NOT_FOUND);
	worker = put_worker(f.view, "a", HERE, 1);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	g_assert_true(choice.worker == worker);
	gn_route_tried_add(&tried, worker);
	g_assert_cmpint(pick(&f, &tried, &choice), ==, GN_ERR_UNAVAILABLE);
	for (int i = 0; i < MAX_CONNECTIONS; i++)
		gn_route_view_begin_dispatch(f.view, worker);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_CAPACITY);
	gn_route_view_end_dispatch(f.view, worker);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	gn_route_view_set_link(f.view, worker, false);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_UNAVAILABLE);
	gn_route_view_set_link(f.view, worker, true);
	report_load(f.view, &f.clock, worker, 0, true);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_UNAVAILABLE);
	/* A new incarnation hasn't reported that it is draining. */
	put_worker(f.view, "a", HERE, 2);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	/*
	 * A removed worker isn't selected even while it has dispatches in
	 * flight.
	 */
	g_assert_cmpint(gn_route_view_remove(f.view, GN_STR("a")), ==, GN_OK);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_NOT_FOUND);
	for (int i = 1; i < MAX_CONNECTIONS; i++)
		gn_route_view_end_dispatch(f.view, worker);
	teardown(&f);
}

static void test_bounds(void)
{
	gn_route_spec_t spec = { GN_STR("a"), SERVICE, HERE, 4, 4, 0, 0, 0 };
	gn_route_spec_t bad = spec;
	fixture_t f;

	setup(&f);
	bad.max_connections = 0;
	g_assert_cmpint(gn_route_view_put(f.view, &bad, NULL), ==,
			GN_ERR_RANGE);
	bad = spec;
	bad.name.len = 0;
	g_assert_cmpint(gn_route_view_put(f.view, &bad, NULL), ==,
			GN_ERR_RANGE);
	bad = spec;
	bad.one_way_us = UINT32_MAX;
	g_assert_cmpint(gn_route_view_put(f.view, &bad, NULL), ==,
			GN_ERR_RANGE);
	g_assert_cmpint(gn_route_view_remove(f.view, GN_STR("a")), ==,
			GN_ERR_NOT_FOUND);
	teardown(&f);
}

/**
 * Requests stay in the entry's data centre while its worker is idle and go to
 * another one once it is loaded.
 */
static void test_spill(void)
{
	gn_route_choice_t choice;
	gn_route_worker_t *here;
	gn_route_worker_t *there;
	fixture_t f;

	setup(&f);
	here = put_worker(f.view, "a", HERE, 1);
	there = put_worker(f.view, "b", THERE, 1);
	report_load(f.view, &f.clock, here, 0, false);
	report_load(f.view, &f.clock, there, 0, false);
	for (int i = 0; i < 20; i++) {
		g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
		g_assert_true(choice.worker == here);
	}
	for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
		gn_route_view_begin_dispatch(f.view, here);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	g_assert_true(choice.worker == there);
	teardown(&f);
}

/**
 * A worker that refused for lack of capacity isn't selected until its next
 * report or until a dispatch ends there.
 */
static void test_note_full(void)
{
	gn_route_choice_t choice;
	gn_route_worker_t *worker;
	fixture_t f;

	setup(&f);
	worker = put_worker(f.view, "a", HERE, 1);
	gn_route_view_begin_dispatch(f.view, worker);
	gn_route_view_note_full(f.view, worker);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_CAPACITY);
	gn_route_view_end_dispatch(f.view, worker);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	gn_route_view_note_full(f.view, worker);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_ERR_CAPACITY);
	report_load(f.view, &f.clock, worker, 0, false);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	teardown(&f);
}

/** A worker that moves to another data centre keeps its in-flight count. */
static void test_move(void)
{
	gn_route_worker_t *worker;
	gn_route_totals_t totals;
	fixture_t f;

	setup(&f);
	worker = put_worker(f.view, "a", HERE, 1);
	gn_route_view_begin_dispatch(f.view, worker);
	g_assert_true(put_worker(f.view, "a", THERE, 1) == worker);
	gn_route_view_totals(f.view, SERVICE, &totals);
	g_assert_cmpuint(totals.workers, ==, 1);
	g_assert_cmpuint(totals.in_flight, ==, 1);
	gn_route_view_end_dispatch(f.view, worker);
	gn_route_view_totals(f.view, SERVICE, &totals);
	g_assert_cmpuint(totals.in_flight, ==, 0);
	teardown(&f);
}

/* ======   Random runs   ====== */

#define WORKERS 12
#define STEPS 2000
#define WALKS 30

typedef enum mutant_e {
	MUTANT_NONE = 0,
	MUTANT_HIDE_DRAINING,
	MUTANT_HIDE_LINK,
	MUTANT_HIDE_TRIED,
	MUTANT_HIDE_DISPATCHES,
	MUTANT_COUNT
} mutant_t;

static const char *const mutant_names[MUTANT_COUNT] = {
	"none", "hide-draining", "hide-link", "hide-tried", "hide-dispatches",
};

/** Reference state of one worker, kept independently of the view. */
typedef struct truth_s {
	/** The worker in the view; NULL if it was removed or not added yet. */
	gn_route_worker_t *worker;
	bool up;
	bool draining;
	unsigned in_flight;
	/**
	 * Whether a load report was sent. Whether the worker is full then also
	 * depends on an estimate.
	 */
	bool reported;
} truth_t;

typedef struct walk_s {
	fixture_t f;
	mutant_t mutant;
	truth_t workers[WORKERS];
	const char *violation;
} walk_t;

static unsigned draw(walk_t *walk, unsigned below)
{
	return (unsigned)g_rand_int_range(walk->f.rand, 0, (gint32)below);
}

static truth_t *draw_worker(walk_t *walk)
{
	return &walk->workers[draw(walk, WORKERS)];
}

static void add_or_remove(walk_t *walk)
{
	truth_t *truth = draw_worker(walk);
	char name[] = "worker-a";

	name[7] = (char)('a' + (truth - walk->workers));
	if (truth->worker && !truth->in_flight && draw(walk, 2)) {
		gn_route_view_remove(walk->f.view, gn_str_from(name));
		truth->worker = NULL;
		return;
	}
	if (truth->worker)
		return;
	*truth = (truth_t){ .up = true };
	truth->worker =
		put_worker(walk->f.view, name, draw(walk, 2) ? HERE : THERE,
			   1 + draw(walk, 1000000));
}

static void set_link(walk_t *walk)
{
	truth_t *truth = draw_worker(walk);

	if (!truth->worker)
		return;
	truth->up = draw(walk, 3);
	if (walk->mutant != MUTANT_HIDE_LINK)
		gn_route_view_set_link(walk->f.view, truth->worker, truth->up);
}

static void send_report(walk_t *walk)
{
	truth_t *truth = draw_worker(walk);

	if (!truth->worker)
		return;
	truth->draining = !draw(walk, 4);
	/*
	 * Without requests of other entries, the worker is full exactly when
	 * this entry's dispatches fill it.
	 */
	report_load(walk->f.view, &walk->f.clock, truth->worker,
		    truth->in_flight,
		    truth->draining && walk->mutant != MUTANT_HIDE_DRAINING);
}

static void end_dispatch(walk_t *walk)
{
	truth_t *truth = draw_worker(walk);

	if (!truth->worker || !truth->in_flight)
		return;
	truth->in_flight--;
	if (walk->mutant != MUTANT_HIDE_DISPATCHES)
		gn_route_view_end_dispatch(walk->f.view, truth->worker);
}

static bool is_eligible(const truth_t *truth, const gn_route_tried_t *tried)
{
	return truth->worker && truth->up && !truth->draining &&
	       truth->in_flight < MAX_CONNECTIONS &&
	       !gn_route_tried_contains(tried, truth->worker);
}

static void pick_and_check(walk_t *walk)
{
	gn_route_tried_t tried = { .count = 0 };
	gn_route_choice_t choice = { .worker = NULL };
	unsigned candidates = 0;
	bool is_candidate = false;

	for (unsigned i = draw(walk, GN_ROUTE_ATTEMPTS_MAX + 1); i > 0; i--) {
		truth_t *truth = draw_worker(walk);

		if (truth->worker &&
		    !gn_route_tried_contains(&tried, truth->worker))
			gn_route_tried_add(&tried, truth->worker);
	}
	walk->f.policy = &gn_route_policies[draw(walk, GN_ROUTE_POLICY_COUNT)];
	pick(&walk->f, walk->mutant == MUTANT_HIDE_TRIED ? NULL : &tried,
	     &choice);
	for (int i = 0; i < WORKERS; i++) {
		truth_t *truth = &walk->workers[i];
		bool eligible = is_eligible(truth, &tried);

		candidates += eligible;
		if (!choice.worker || truth->worker != choice.worker)
			continue;
		is_candidate = eligible;
		truth->in_flight++;
		if (walk->mutant != MUTANT_HIDE_DISPATCHES)
			gn_route_view_begin_dispatch(walk->f.view,
						     truth->worker);
	}
	if (choice.worker && !is_candidate)
		walk->violation = "selected a worker that must not be selected";
	if (!choice.worker && candidates)
		walk->violation = "selected no worker although one is eligible";
}

static const char *run_walk(guint32 seed, mutant_t mutant)
{
	static void (*const ops[])(
		walk_t *) = { add_or_remove, set_link,	     send_report,
			      end_dispatch,  pick_and_check, pick_and_check };
	walk_t walk = { .mutant = mutant };

	setup(&walk.f);
	g_rand_set_seed(walk.f.rand, seed);
	for (int i = 0; i < STEPS && !walk.violation; i++) {
		gn_clock_advance(&walk.f.clock, draw(&walk, 10000));
		ops[draw(&walk, G_N_ELEMENTS(ops))](&walk);
	}
	teardown(&walk.f);
	return walk.violation;
}

static void test_walks(void)
{
	for (guint32 seed = 1; seed <= WALKS; seed++) {
		const char *violation = run_walk(seed, MUTANT_NONE);

		if (violation)
			g_error("seed %u: %s", seed, violation);
	}
}

static void test_mutant(const void *data)
{
	const char *violation = NULL;

	for (guint32 seed = 1; seed <= WALKS && !violation; seed++)
		violation = run_walk(seed, GPOINTER_TO_INT(data));
	g_assert_nonnull(violation);
}

/**
 * Of two workers in another data centre the nearer one is selected, also after
 * the delays were updated.
 */
static void test_one_way(void)
{
	gn_route_choice_t choice;
	gn_route_worker_t *a;
	gn_route_worker_t *b;
	fixture_t f;

	setup(&f);
	a = put_worker(f.view, "a", THERE, 1);
	b = put_worker(f.view, "b", THERE, 1);
	gn_route_view_set_one_way(a, 40000);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	g_assert_true(choice.worker == b);
	gn_route_view_set_one_way(b, 80000);
	g_assert_cmpint(pick(&f, NULL, &choice), ==, GN_OK);
	g_assert_true(choice.worker == a);
	g_assert_cmpuint(gn_route_worker_idle_response_us(b), >=, 160000);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pick/codes", test_codes);
	g_test_add_func("/pick/bounds", test_bounds);
	g_test_add_func("/pick/spill", test_spill);
	g_test_add_func("/pick/one-way", test_one_way);
	g_test_add_func("/pick/note-full", test_note_full);
	g_test_add_func("/pick/move", test_move);
	g_test_add_func("/pick/walks", test_walks);
	for (int i = MUTANT_NONE + 1; i < MUTANT_COUNT; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/pick/mutant/%s",
			 mutant_names[i]);
		g_test_add_data_func(path, GINT_TO_POINTER(i), test_mutant);
	}
	return g_test_run();
}
