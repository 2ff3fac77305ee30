/**
 * @file bench_wire_bucket.c
 * @brief Measures bytes, memory and processor time of a bucket by its tasks.
 *
 * Fills a bucket with a number of tasks or until it refuses, stores it, and
 * lets workers claim eight tasks each. Runs with small tasks, then with tasks
 * that have a key and a specification.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/str.h"
#include "support/bucket_gate.h"

#define SEED 1
#define NS_PER_S 1000000000ULL
#define SPEC_SIZE 200
#define KEY_SIZE 40
#define TASKS_A_WORKER 8
#define OWNER 11

typedef struct rig_s {
	TALLOC_CTX *frame;
	gn_clock_t clock;
	GRand *rand;
	gn_batch_bucket_t *bucket;
	uint64_t revision;
	unsigned tasks;
	bool is_large; /**< tasks have a key and a specification */
} rig_t;

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)((uint64_t)now.tv_sec * NS_PER_S +
			(uint64_t)now.tv_nsec) /
	       1000;
}

/** Commits the bucket and prints the size and time of the write. */
static void commit_bucket(rig_t *rig, const char *state)
{
	gn_batch_commit_t commit;
	double start_us = cpu_us();

	g_assert_true(gn_batch_bucket_next_commit(rig->bucket, &commit));
	if (rig->tasks)
		printf("bucket tasks=%u large=%d state=%s bytes=%zu "
		       "bytes_a_task=%.1f encode_us=%.0f "
		       "memory_a_task=%.0f\n",
		       rig->tasks, rig->is_large, state, commit.value.len,
		       (double)commit.value.len / rig->tasks,
		       cpu_us() - start_us,
		       (double)talloc_total_size(rig->bucket) / rig->tasks);
	rig->revision++;
	gn_batch_bucket_on_commit(rig->bucket, commit.change_id, GN_OK,
				  rig->revision);
}

static gn_code_t submit_task(rig_t *rig)
{
	static const char spec[SPEC_SIZE];
	char key[KEY_SIZE];
	uint64_t id;
	uint64_t seq;
	gn_task_reason_t reason;
	gn_task_request_t request = {
		.work_class = GN_CLASS_BATCH,
		.team = GN_STR("networks"),
		.kind = GN_STR("network-timing"),
		.service = GN_STR("timing-planner"),
		.cores = 2,
		.memory_mb = 4096,
		.run_ms = 600000,
		.checkpoint_ms = 1000,
	};

	snprintf(key, sizeof(key), "job-%08u-0123456789abcdef", rig->tasks);
	if (rig->is_large) {
		request.key = gn_str_from(key);
		request.spec = (gn_str_t){ spec, sizeof(spec) };
	}
	return gn_batch_bucket_submit(rig->bucket, &request, &id, &seq,
				      &reason);
}

static void claim_tasks(rig_t *rig)
{
	unsigned polls = rig->tasks / TASKS_A_WORKER;
	double start_us = cpu_us();

	for (unsigned i = 0; i < polls; i++) {
		char name[GN_NAME_MAX];
		gn_batch_orders_t orders;
		gn_batch_worker_t worker = {
			.name = name,
			.service = "timing-planner",
			.free_tasks = TASKS_A_WORKER,
			.free_cores = 32,
			.free_memory_mb = 125000,
		};
		gn_batch_poll_t poll = { .incarnation = 5,
					 .sent_us = i + 1,
					 .worker = &worker };

		snprintf(name, sizeof(name), "worker-%05u", i);
		g_assert_cmpint(gn_batch_bucket_on_poll(rig->bucket, &poll,
							rig->frame, &orders),
				==, GN_OK);
	}
	printf("bucket polls=%u claims_a_poll=%d us_a_poll=%.1f\n", polls,
	       TASKS_A_WORKER, (cpu_us() - start_us) / polls);
}

static void run(unsigned tasks, bool is_large)
{
	rig_t rig = { .frame = talloc_new(NULL),
		      .rand = g_rand_new_with_seed(SEED),
		      .is_large = is_large };
	static bucket_gate_t gate = BUCKET_GATE_OPEN;
	gn_error_t error;

	gn_clock_init_paused(&rig.clock, 1000 * GN_US_PER_S);
	g_assert_cmpint(gn_batch_bucket_create(
				rig.frame, 3, OWNER, (gn_str_t){ NULL, 0 }, 0,
				&bucket_params, bucket_gate(&gate), &rig.clock,
				rig.rand, &rig.bucket, &error),
			==, GN_OK);
	commit_bucket(&rig, "taken");
	while (rig.tasks < tasks && submit_task(&rig) == GN_OK)
		rig.tasks++;
	commit_bucket(&rig, "queued");
	claim_tasks(&rig);
	commit_bucket(&rig, "claimed");
	talloc_free(rig.frame);
	g_rand_free(rig.rand);
}

int main(void)
{
	static const unsigned sizes[] = { 100, 500, 2000, 4000, 16000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		run(sizes[i], false);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		run(sizes[i], true);
	return 0;
}
