#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "job/job.pb-c.h"
#include "sched/interference.h"

/** Headroom of a serving task without load, and number of readings. */
#define UNLOADED_HEADROOM 4.5
#define READINGS 40
#define READING_US (300 * GN_US_PER_MS)
/** Amplitude of the load and its period in readings. */
#define LOAD_AMPLITUDE 0.25
#define LOAD_PERIOD_READINGS 45
/** More images than the table holds. */
#define MANY_IMAGES 10000
/** True weights. */
#define HEAVY_WEIGHT 6.0
#define LIGHT_WEIGHT 1.0

typedef struct fixture_s {
	gn_interference_t *interference;
	const char *serving;
	gn_headroom_t baseline;
	uint64_t now_us;
} fixture_t;

static void init_fixture(fixture_t *rig)
{
	memset(rig, 0, sizeof(*rig));
	rig->interference = gn_interference_create(NULL);
	rig->serving = g_intern_string("s");
	rig->now_us = GN_US_PER_S;
}

static void add_reading(fixture_t *rig, double headroom,
			const gn_image_use_t *uses, size_t count)
{
	rig->now_us += READING_US;
	gn_interference_update(rig->interference, rig->serving, headroom,
			       &rig->baseline, uses, count, rig->now_us);
}

/* Returns the headroom of a queue with varying load beside @p uses. */
static double get_headroom(int reading, const gn_image_use_t *uses,
			   size_t count, const char *heavy)
{
	double load = 0.4 + LOAD_AMPLITUDE * sin(2 * G_PI * reading /
						 LOAD_PERIOD_READINGS);
	double loss = 0;

	for (size_t i = 0; i < count; i++)
		loss += uses[i].share *
			(uses[i].image == heavy ? HEAVY_WEIGHT : LIGHT_WEIGHT);
	return UNLOADED_HEADROOM * (1 - load) - loss;
}

static void test_attributes_loss_to_the_right_pair(void)
{
	const char *heavy = g_intern_string("heavy");
	const char *light = g_intern_string("light");
	fixture_t rig;

	init_fixture(&rig);
	for (int i = 0; i < READINGS; i++) {
		const gn_image_use_t uses[] = {
			{ heavy, i % 2 ? 0.2 : 0.0 },
			{ light, i % 3 ? 0.4 : 0.0 },
		};

		add_reading(&rig, get_headroom(i, uses, 2, heavy), uses, 2);
	}
	g_assert_cmpfloat_with_epsilon(
		gn_interference_weight(rig.interference, rig.serving, heavy),
		HEAVY_WEIGHT, 1.0);
	g_assert_cmpfloat_with_epsilon(
		gn_interference_weight(rig.interference, rig.serving, light),
		LIGHT_WEIGHT, 0.7);
	talloc_free(rig.interference);
}

/*
 * Two tasks of a step share a varying load, and one has a best-effort task
 * beside it. The weight follows from the difference of their headrooms.
 */
static void test_tasks_of_a_step_share_their_load(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.5 };
	fixture_t rig;

	init_fixture(&rig);
	for (int i = 0; i < 2 * LOAD_PERIOD_READINGS; i++) {
		add_reading(&rig, get_headroom(i, NULL, 0, NULL), NULL, 0);
		add_reading(&rig, get_headroom(i, &use, 1, NULL), &use, 1);
		g_assert_cmpfloat_with_epsilon(rig.baseline.value,
					       get_headroom(i, NULL, 0, NULL),
					       0.8);
	}
	g_assert_cmpfloat_with_epsilon(gn_interference_weight(rig.interference,
							      rig.serving,
							      use.image),
				       LIGHT_WEIGHT, 0.4);
	talloc_free(rig.interference);
}

static void test_pairs_are_independent(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.4 };
	const char *other = g_intern_string("other");
	gn_headroom_t other_baseline = { 0 };
	fixture_t rig;

	init_fixture(&rig);
	for (int i = 0; i < READINGS; i++) {
		size_t count = (size_t)i % 2;

		add_reading(&rig, count ? 1.0 : 3.0, &use, count);
		gn_interference_update(rig.interference, other, 3.0,
				       &other_baseline, &use, count,
				       rig.now_us);
	}
	g_assert_cmpfloat(
		gn_interference_loss(rig.interference, rig.serving, &use, 1), >,
		1.0);
	g_assert_cmpfloat(
		gn_interference_loss(rig.interference, other, &use, 1), <, 0.3);
	talloc_free(rig.interference);
}

/* An overestimated weight must decrease again. */
static void test_large_weight_decreases(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.3 };
	fixture_t rig;

	init_fixture(&rig);
	add_reading(&rig, 3.0, NULL, 0);
	for (int i = 0; i < 3; i++)
		add_reading(&rig, 0.1, &use, 1);
	for (int i = 0; i < READINGS; i++)
		add_reading(&rig, 3.0, &use, 1);
	g_assert_cmpfloat(
		gn_interference_loss(rig.interference, rig.serving, &use, 1), <,
		0.5);
	talloc_free(rig.interference);
}

/* The next leader continues with the stored weights. */
static void test_pack_and_unpack(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.3 };
	gn_interference_t *successor = gn_interference_create(NULL);
	uint8_t *data;
	size_t len;
	fixture_t rig;

	init_fixture(&rig);
	for (int i = 0; i < READINGS; i++)
		add_reading(&rig, i % 2 ? 1.0 : 3.0, &use, (size_t)i % 2);
	data = gn_interference_pack(rig.interference, &len);
	g_assert_cmpint(gn_interference_unpack(successor, data, len), ==,
			GN_OK);
	g_assert_cmpfloat(
		gn_interference_weight(successor, rig.serving, use.image), ==,
		gn_interference_weight(rig.interference, rig.serving,
				       use.image));
	g_assert_cmpfloat(
		gn_interference_weight(successor, rig.serving, use.image), >,
		4.0);
	free(data);
	talloc_free(successor);
	talloc_free(rig.interference);
}

static void test_unpack_rejects_malformed_data(void)
{
	gn_interference_t *interference = gn_interference_create(NULL);
	Gn__Disturbance row = GN__DISTURBANCE__INIT;
	Gn__Disturbance *rows[] = { &row };
	Gn__Disturbances all = GN__DISTURBANCES__INIT;
	const double weights[] = { -1.0, 1e9, NAN };
	uint8_t data[64];

	g_assert_cmpint(gn_interference_unpack(interference,
					       (const uint8_t *)"\xff", 1),
			==, GN_ERR_INVALID);
	row.serves = (char *)"s";
	row.fills = (char *)"f";
	all.pairs = rows;
	all.n_pairs = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
		row.weight = weights[i];
		g_assert_cmpuint(gn__disturbances__get_packed_size(&all), <,
				 sizeof(data));
		g_assert_cmpint(gn_interference_unpack(
					interference, data,
					gn__disturbances__pack(&all, data)),
				==, GN_ERR_INVALID);
	}
	talloc_free(interference);
}

/*
 * Callers choose the images, so the table must be bounded. The names are not
 * interned here, since GLib never frees interned strings.
 */
static void test_size_is_bounded(void)
{
	static char names[MANY_IMAGES][16];
	gn_interference_t *interference = gn_interference_create(NULL);
	gn_headroom_t baseline = { 0 };
	size_t len;

	for (unsigned i = 0; i < MANY_IMAGES; i++) {
		const gn_image_use_t use = { names[i], 0.5 };

		g_snprintf(names[i], sizeof(names[i]), "image %u", i);
		gn_interference_update(interference, "s", 1.0 + i % 2,
				       &baseline, &use, 1,
				       GN_US_PER_S * (i + 1));
	}
	free(gn_interference_pack(interference, &len));
	g_assert_cmpuint(len, <, 1024 * 1024);
	talloc_free(interference);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/disturb/attributes_loss_to_the_right_pair",
			test_attributes_loss_to_the_right_pair);
	g_test_add_func("/disturb/tasks_of_a_step_share_their_load",
			test_tasks_of_a_step_share_their_load);
	g_test_add_func("/disturb/pairs_are_independent",
			test_pairs_are_independent);
	g_test_add_func("/disturb/large_weight_decreases",
			test_large_weight_decreases);
	g_test_add_func("/disturb/pack_and_unpack", test_pack_and_unpack);
	g_test_add_func("/disturb/unpack_rejects_malformed_data",
			test_unpack_rejects_malformed_data);
	g_test_add_func("/disturb/size_is_bounded", test_size_is_bounded);
	return g_test_run();
}
