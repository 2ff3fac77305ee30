/**
 * @file test_job_queue.c
 * @brief A job keeps what it has from its queue when the configuration has the
 *        queue no more, also under the next leader.
 */
#include "support/sched_rig.h"

#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"

static const rig_step_t step = { .count = 1,
				 .cpu_milli = 1000,
				 .estimate_ms = 1000 };

static const gn_queue_t kept = { .name = "kept",
				 .host = "h",
				 .prefix = "/k/",
				 .service = "s",
				 .max_attempts = 2,
				 .stretch = 2,
				 .target_ms = 1000 };

static gn_queue_t make_queue(const char *name, const char *service)
{
	return (gn_queue_t){ .name = name,
			     .host = "h",
			     .prefix = "/q/",
			     .service = service,
			     .max_attempts = 2,
			     .stretch = 2,
			     .target_ms = 1000 };
}

static gn_queue_t rows[2];
static gn_queues_t configuration;

/* Configures a queue of this name besides one that stays; none if NULL. */
static void configure(sched_rig_t *rig, const char *name, const char *service)
{
	rows[0] = kept;
	if (name)
		rows[1] = make_queue(name, service);
	configuration.version++;
	configuration.queues = rows;
	configuration.queue_count = name ? 2 : 1;
	gn_sched_configure(rig->sched, &configuration);
}

/* A job of queue "q" waits, as no worker is known. */
static void open_with_job(sched_rig_t *rig, const char *service)
{
	rig_open(rig);
	configure(rig, "q", service);
	rig_submit(rig, JOB, "q", &step, 1);
	rig_store(rig);
}

static void change_leader(sched_rig_t *rig, const char *name,
			  const char *service)
{
	rig_change_leader(rig);
	configure(rig, name, service);
	rig_store(rig);
}

static bool is_started(sched_rig_t *rig)
{
	rig_clear(rig);
	rig_report(rig, "a", "1");
	rig_store(rig);
	return rig_find_order(rig, GN_RUN_ORDER_START, TASK) != NULL;
}

static void test_job_of_a_removed_queue_is_started_by_the_next_leader(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "s");
	configure(&rig, NULL, NULL);
	rig_store(&rig);
	change_leader(&rig, NULL, NULL);
	g_assert_true(is_started(&rig));
	rig_close(&rig);
}

/* Guards against a job that waits for workers of a service that its queue was
 * taken from, before the queue was removed. */
static void test_change_of_a_queue_that_is_removed_later_is_kept(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "gone");
	configure(&rig, "q", "s");
	rig_store(&rig);
	configure(&rig, NULL, NULL);
	rig_store(&rig);
	change_leader(&rig, NULL, NULL);
	g_assert_true(is_started(&rig));
	rig_close(&rig);
}

static void test_job_follows_its_queue_to_another_name(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "gone");
	configure(&rig, "renamed", "s");
	g_assert_cmpuint(gn_sched_count_waiting(rig.sched, "renamed").waiting,
			 ==, 1);
	rig_store(&rig);
	change_leader(&rig, "renamed", "s");
	g_assert_cmpuint(gn_sched_count_waiting(rig.sched, "renamed").waiting,
			 ==, 1);
	g_assert_true(is_started(&rig));
	rig_close(&rig);
}

static Gn__JobRecord *get_record(sched_rig_t *rig)
{
	return g_hash_table_lookup(rig->records, JOB);
}

/* Guards against a leader of an older build, which stores no queue with the
 * state. */
static void test_queue_at_acceptance_outlives_an_older_leader(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "s");
	g_assert_null(get_record(&rig)->state->queue);
	configure(&rig, NULL, NULL);
	change_leader(&rig, NULL, NULL);
	g_assert_true(is_started(&rig));
	rig_close(&rig);
}

/* Guards against the loss of jobs that an older build has accepted. */
static void test_queue_of_a_job_of_an_older_build_is_stored(void)
{
	Gn__JobRecord *record;
	sched_rig_t rig;

	open_with_job(&rig, "s");
	record = get_record(&rig);
	gn__job_queue__free_unpacked(record->spec->accepted_by, NULL);
	record->spec->accepted_by = NULL;
	change_leader(&rig, "q", "s");
	g_assert_nonnull(get_record(&rig)->state->queue);
	change_leader(&rig, NULL, NULL);
	g_assert_true(is_started(&rig));
	rig_close(&rig);
}

/* Guards against a write of each job by each leader. */
static void test_unchanged_queue_is_not_stored_again(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "s");
	configure(&rig, "q", "s");
	g_assert_false(gn_sched_is_dirty(rig.sched));
	change_leader(&rig, "q", "s");
	g_assert_null(get_record(&rig)->state->queue);
	rig_close(&rig);
}

/* Guards against a job that fails by a limit that was raised since. */
static void test_stored_limit_is_not_applied_before_the_configuration(void)
{
	sched_rig_t rig;

	open_with_job(&rig, "s");
	g_assert_true(is_started(&rig));
	rig_report_end(&rig, "a", "1", TASK, 1, GN_END_FAILED);
	rig_store(&rig);
	get_record(&rig)->state->tasks[0]->failed = 2;
	rig_change_leader(&rig);
	g_assert_cmpint(rig_phase(&rig, JOB), !=, GN_JOB_FAILED);
	configure(&rig, NULL, NULL);
	g_assert_cmpint(rig_phase(&rig, JOB), ==, GN_JOB_FAILED);
	rig_close(&rig);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name) g_test_add_func("/job-queue/" #name, test_##name)
	ADD(job_of_a_removed_queue_is_started_by_the_next_leader);
	ADD(change_of_a_queue_that_is_removed_later_is_kept);
	ADD(job_follows_its_queue_to_another_name);
	ADD(queue_at_acceptance_outlives_an_older_leader);
	ADD(queue_of_a_job_of_an_older_build_is_stored);
	ADD(unchanged_queue_is_not_stored_again);
	ADD(stored_limit_is_not_applied_before_the_configuration);
	return g_test_run();
}
