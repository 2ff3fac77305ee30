#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "job/job.pb-c.h"
#include "sched/disturb.h"

/** A serving task's headroom without load, and readings of it. */
#define UNLOADED 4.5
#define READINGS 40
#define READING_US (300 * GN_US_PER_MS)
/** Its load goes up and down by this within this many readings. */
#define SWING 0.25
#define SWING_READINGS 45
/** More images than are kept. */
#define MANY_IMAGES 10000
/** True weights. */
#define HEAVY 6.0
#define LIGHT 1.0

typedef struct rig_s {
	gn_disturb_t *disturb;
	const char *serves;
	gn_headroom_t alone;
	uint64_t now_us;
} rig_t;

static void open_rig(rig_t *rig)
{
	memset(rig, 0, sizeof(*rig));
	rig->disturb = gn_interference_create(NULL);
	rig->serves = g_intern_string("s");
	rig->now_us = GN_US_PER_S;
}

static void learn(rig_t *rig, double headroom, const gn_image_use_t *uses,
		  size_t count)
{
	rig->now_us += READING_US;
	gn_interference_update(rig->disturb, rig->serves, headroom, &rig->alone,
			       uses, count, rig->now_us);
}

/* The headroom of a queue whose load moves, beside @p uses. */
static double get_headroom(int reading, const gn_image_use_t *uses,
			   size_t count, const char *heavy)
{
	double load = 0.4 + SWING * sin(2 * G_PI * reading / SWING_READINGS);
	double lost = 0;

	for (size_t i = 0; i < count; i++)
		lost += uses[i].share *
			(uses[i].image == heavy ? HEAVY : LIGHT);
	return UNLOADED * (1 - load) - lost;
}

static void test_blames_the_pair_that_disturbs(void)
{
	const char *heavy = g_intern_string("heavy");
	const char *light = g_intern_string("light");
	rig_t rig;

	open_rig(&rig);
	for (int i = 0; i < READINGS; i++) {
		const gn_image_use_t uses[] = {
			{ heavy, i % 2 ? 0.2 : 0.0 },
			{ light, i % 3 ? 0.4 : 0.0 },
		};

		learn(&rig, get_headroom(i, uses, 2, heavy), uses, 2);
	}
	g_assert_cmpfloat_with_epsilon(
		gn_interference_weight(rig.disturb, rig.serves, heavy), HEAVY,
		1.0);
	g_assert_cmpfloat_with_epsilon(
		gn_interference_weight(rig.disturb, rig.serves, light), LIGHT,
		0.7);
	talloc_free(rig.disturb);
}

/*
 * Two tasks of a step, one with what fills beside it, one without: while
 * their load moves, the weight is told from the difference of the two.
 */
static void test_tasks_of_a_step_share_their_load(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.5 };
	rig_t rig;

	open_rig(&rig);
	for (int i = 0; i < 2 * SWING_READINGS; i++) {
		learn(&rig, get_headroom(i, NULL, 0, NULL), NULL, 0);
		learn(&rig, get_headroom(i, &use, 1, NULL), &use, 1);
		g_assert_cmpfloat_with_epsilon(
			rig.alone.value, get_headroom(i, NULL, 0, NULL), 0.8);
	}
	g_assert_cmpfloat_with_epsilon(
		gn_interference_weight(rig.disturb, rig.serves, use.image),
		LIGHT, 0.4);
	talloc_free(rig.disturb);
}

static void test_pairs_are_apart(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.4 };
	const char *other = g_intern_string("other");
	gn_headroom_t calm = { 0 };
	rig_t rig;

	open_rig(&rig);
	for (int i = 0; i < READINGS; i++) {
		size_t count = (size_t)i % 2;

		learn(&rig, count ? 1.0 : 3.0, &use, count);
		gn_interference_update(rig.disturb, other, 3.0, &calm, &use,
				       count, rig.now_us);
	}
	g_assert_cmpfloat(
		gn_interference_loss(rig.disturb, rig.serves, &use, 1), >, 1.0);
	g_assert_cmpfloat(gn_interference_loss(rig.disturb, other, &use, 1), <,
			  0.3);
	talloc_free(rig.disturb);
}

/* A weight that has grown too large must come down again. */
static void test_forgives(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.3 };
	rig_t rig;

	open_rig(&rig);
	learn(&rig, 3.0, NULL, 0);
	for (int i = 0; i < 3; i++)
		learn(&rig, 0.1, &use, 1);
	for (int i = 0; i < READINGS; i++)
		learn(&rig, 3.0, &use, 1);
	g_assert_cmpfloat(
		gn_interference_loss(rig.disturb, rig.serves, &use, 1), <, 0.5);
	talloc_free(rig.disturb);
}

/* A successor goes on with what was learned. */
static void test_handed_on(void)
{
	const gn_image_use_t use = { g_intern_string("f"), 0.3 };
	gn_disturb_t *successor = gn_interference_create(NULL);
	uint8_t *data;
	size_t len;
	rig_t rig;

	open_rig(&rig);
	for (int i = 0; i < READINGS; i++)
		learn(&rig, i % 2 ? 1.0 : 3.0, &use, (size_t)i % 2);
	data = gn_interference_pack(rig.disturb, &len);
	g_assert_cmpint(gn_interference_unpack(successor, data, len), ==,
			GN_OK);
	g_assert_cmpfloat(
		gn_interference_weight(successor, rig.serves, use.image), ==,
		gn_interference_weight(rig.disturb, rig.serves, use.image));
	g_assert_cmpfloat(
		gn_interference_weight(successor, rig.serves, use.image), >,
		4.0);
	free(data);
	talloc_free(successor);
	talloc_free(rig.disturb);
}

static void test_malformed_is_refused(void)
{
	gn_disturb_t *disturb = gn_interference_create(NULL);
	Gn__Disturbance row = GN__DISTURBANCE__INIT;
	Gn__Disturbance *rows[] = { &row };
	Gn__Disturbances all = GN__DISTURBANCES__INIT;
	const double weights[] = { -1.0, 1e9, NAN };
	uint8_t data[64];

	g_assert_cmpint(
		gn_interference_unpack(disturb, (const uint8_t *)"\xff", 1), ==,
		GN_ERR_INVALID);
	row.serves = (char *)"s";
	row.fills = (char *)"f";
	all.pairs = rows;
	all.n_pairs = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
		row.weight = weights[i];
		g_assert_cmpuint(gn__disturbances__get_packed_size(&all), <,
				 sizeof(data));
		g_assert_cmpint(gn_interference_unpack(
					disturb, data,
					gn__disturbances__pack(&all, data)),
				==, GN_ERR_INVALID);
	}
	talloc_free(disturb);
}

/*
 * Callers choose the images: what is kept of them is bounded. The names are
 * not interned here, since GLib keeps those for ever.
 */
static void test_is_bounded(void)
{
	static char names[MANY_IMAGES][16];
	gn_disturb_t *disturb = gn_interference_create(NULL);
	gn_headroom_t alone = { 0 };
	size_t len;

	for (unsigned i = 0; i < MANY_IMAGES; i++) {
		const gn_image_use_t use = { names[i], 0.5 };

		g_snprintf(names[i], sizeof(names[i]), "image %u", i);
		gn_interference_update(disturb, "s", 1.0 + i % 2, &alone, &use,
				       1, GN_US_PER_S * (i + 1));
	}
	free(gn_interference_pack(disturb, &len));
	g_assert_cmpuint(len, <, 1024 * 1024);
	talloc_free(disturb);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/disturb/blames_the_pair_that_disturbs",
			test_blames_the_pair_that_disturbs);
	g_test_add_func("/disturb/tasks_of_a_step_share_their_load",
			test_tasks_of_a_step_share_their_load);
	g_test_add_func("/disturb/pairs_are_apart", test_pairs_are_apart);
	g_test_add_func("/disturb/forgives", test_forgives);
	g_test_add_func("/disturb/handed_on", test_handed_on);
	g_test_add_func("/disturb/malformed_is_refused",
			test_malformed_is_refused);
	g_test_add_func("/disturb/is_bounded", test_is_bounded);
	return g_test_run();
}
