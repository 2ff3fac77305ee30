#include <glib.h>

#include "batch/share.h"

#define MS UINT64_C(1000)

typedef struct share_case_s {
	const char *name;
	unsigned placed[3]; /**< tasks at three workers; the first one polls */
	bool open[3];
	size_t waiting;
	unsigned share; /**< expected result at first */
	unsigned late_share; /**< expected after tasks waited too long */
} share_case_t;

static const share_case_t cases[] = {
	{ "nothing waits", { 0, 0, 0 }, { true, true, true }, 0, 0, 0 },
	{ "even", { 0, 0, 0 }, { true, true, true }, 6, 2, 3 },
	{ "rounded up", { 0, 0, 0 }, { true, true, true }, 4, 2, 2 },
	{ "the fuller one waits", { 4, 0, 0 }, { true, true, true }, 4, 0, 2 },
	{ "others closed", { 1, 9, 9 }, { true, false, false }, 5, 5, 6 },
	{ "none open", { 0, 0, 0 }, { false, false, false }, 2, 2, 3 },
};

static void test_share(gconstpointer data)
{
	const share_case_t *row = data;
	gn_batch_share_t share = { 0 };
	gn_batch_share_member_t members[3] = { 0 };

	for (int i = 0; i < 3; i++)
		gn_batch_share_set(&share, &members[i], row->open[i],
				   row->placed[i]);
	g_assert_cmpuint(
		gn_batch_share_get_limit(&share, &members[0], row->waiting, MS),
		==, row->share);
	g_assert_cmpuint(gn_batch_share_get_limit(&share, &members[0],
						  row->waiting, 502 * MS),
			 ==, row->late_share);
}

/** After many changes, the incremental sums equal those over all members. */
static void test_sums(void)
{
	gn_batch_share_t share = { 0 };
	gn_batch_share_member_t members[16] = { 0 };
	GRand *rand = g_rand_new_with_seed(5);
	uint64_t placed = 0;
	unsigned workers = 0;

	for (int i = 0; i < 1000; i++)
		gn_batch_share_set(&share,
				   &members[g_rand_int_range(rand, 0, 16)],
				   g_rand_boolean(rand),
				   (unsigned)g_rand_int_range(rand, 0, 9));
	for (int i = 0; i < 16; i++) {
		workers += members[i].accepts_tasks;
		placed += members[i].accepts_tasks ? members[i].placed : 0;
	}
	g_assert_cmpuint(share.workers, ==, workers);
	g_assert_cmpuint(share.placed, ==, placed);
	g_rand_free(rand);
}

/**
 * One worker in three has capacity for an urgent task reserved, unless another
 * worker has free capacity for one.
 */
static void test_rooms(void)
{
	gn_batch_share_t share = { 0 };
	gn_batch_share_member_t members[3] = { 0 };
	gn_batch_worker_t full = { .cores = 16 };
	gn_batch_worker_t idle = { .cores = 16,
				   .free_tasks = 8,
				   .free_cores = 16 };

	for (int i = 0; i < 3; i++)
		gn_batch_share_set(&share, &members[i], true, 0);
	gn_batch_share_apply_limit(&share, &members[0], 100, &idle);
	g_assert_cmpuint(idle.reserved_tasks, ==, 1);
	g_assert_cmpuint(idle.reserved_cores, ==, 2);
	gn_batch_share_update_room(&share, &members[0], &idle);
	gn_batch_share_apply_limit(&share, &members[0], 100, &idle);
	g_assert_cmpuint(idle.reserved_tasks, ==, 1);
	gn_batch_share_apply_limit(&share, &members[1], 100, &idle);
	g_assert_cmpuint(idle.reserved_tasks, ==, 0);
	/* Task slots above the limit are for urgent tasks only. */
	gn_batch_share_apply_limit(&share, &members[1], 3, &idle);
	g_assert_cmpuint(idle.reserved_tasks, ==, 5);
	gn_batch_share_update_room(&share, &members[0], &full);
	gn_batch_share_apply_limit(&share, &members[1], 100, &idle);
	g_assert_cmpuint(idle.reserved_tasks, ==, 1);
	gn_batch_share_update_room(&share, &members[0], &idle);
	gn_batch_share_set(&share, &members[0], false, 0);
	g_assert_cmpuint(share.with_urgent_room, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/share/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_share);
		g_free(path);
	}
	g_test_add_func("/share/sums", test_sums);
	g_test_add_func("/share/rooms", test_rooms);
	return g_test_run();
}
