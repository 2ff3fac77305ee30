/**
 * @file bench_batch.c
 * @brief Measures how the cost of batch decisions grows with the tasks, for
 * docs/CAPACITY.md.
 *
 * usage: bench_batch [REPEATS]
 * Prints the bytes and the time per task of a bucket's value, the time of a
 * commit, a poll and a tick, and the time of a choice among the waiting tasks.
 */
#include <stdio.h>
#include <string.h>

#include "common/str.h"
#include "support/bucket_gate.h"

#define TEAMS 73
#define TASKS_PER_WORKER 8
#define SPEC_LEN 64

/** A bucket and the state around it. */
typedef struct bench_s {
	TALLOC_CTX *frame;
	gn_clock_t clock;
	GRand *rand;
	gn_batch_bucket_t *bucket;
	uint64_t revision;
	gn_str_t stored;
	unsigned repeats;
} bench_t;

static double elapsed_ns(gint64 start_us, unsigned repeats)
{
	return (double)(g_get_monotonic_time() - start_us) * 1000 / repeats;
}

static void commit(bench_t *bench)
{
	gn_batch_commit_t write;

	if (!gn_batch_bucket_next_commit(bench->bucket, &write))
		return;
	talloc_free((void *)bench->stored.data);
	bench->stored.data =
		talloc_memdup(bench->frame, write.value.data, write.value.len);
	bench->stored.len = write.value.len;
	gn_batch_bucket_on_commit(bench->bucket, write.change_id, GN_OK,
				  ++bench->revision);
}

static gn_code_t submit(bench_t *bench, unsigned i)
{
	static const char spec[SPEC_LEN];
	char team[GN_NAME_MAX];
	gn_task_request_t request = { .work_class = GN_CLASS_BATCH,
				      .kind = GN_STR("optimise-network"),
				      .service = GN_STR("timing-planner"),
				      .cores = 1 + i % 4,
				      .memory_mb = 1024,
				      .run_ms = 600000,
				      .checkpoint_ms = 2000,
				      .spec = { spec, SPEC_LEN } };
	gn_task_reason_t reason;
	uint64_t id;
	uint64_t seq;

	g_snprintf(team, sizeof(team), "team-%02u", i % TEAMS);
	request.team = gn_str_from(team);
	request.priority = i / TEAMS % GN_TASK_PRIORITIES;
	return gn_batch_bucket_submit(bench->bucket, &request, &id, &seq,
				      &reason);
}

static void poll_worker(bench_t *bench, unsigned worker, uint64_t sent_us,
			const gn_batch_report_t *reports, size_t count,
			unsigned free_tasks)
{
	char name[GN_NAME_MAX];
	gn_batch_orders_t orders;
	gn_batch_worker_t capacity = { .name = name,
				       .service = "timing-planner",
				       .free_tasks = free_tasks,
				       .free_cores = 32,
				       .free_memory_mb = 128000 };
	gn_batch_poll_t poll = { .incarnation = 1,
				 .sent_us = sent_us,
				 .reports = reports,
				 .report_count = count,
				 .worker = &capacity };
	TALLOC_CTX *frame = talloc_new(NULL);

	g_snprintf(name, sizeof(name), "worker-%05u", worker);
	gn_batch_bucket_on_poll(bench->bucket, &poll, frame, &orders);
	talloc_free(frame);
}

static void set_up(bench_t *bench)
{
	static bucket_gate_t gate = BUCKET_GATE_OPEN;

	bench->frame = talloc_new(NULL);
	bench->revision = 0;
	bench->stored = (gn_str_t){ NULL, 0 };
	gn_clock_init_paused(&bench->clock, 1000ULL * GN_US_PER_S);
	gn_batch_bucket_create(bench->frame, 0, 7, bench->stored, 0,
			       &bucket_params, bucket_gate(&gate),
			       &bench->clock, bench->rand, &bench->bucket,
			       NULL);
	commit(bench);
}

static void collect_report(const gn_task_t *task, void *data)
{
	gn_batch_report_t *report = data;

	if (!gn_task_state_is_held(task->state) ||
	    strcmp(task->worker, "worker-00000") != 0)
		return;
	while (report->task)
		report++;
	report->task = task->id;
	report->epoch = gn_task_epoch(1, task->claim);
}

/** Returns the time of one poll by a worker that runs eight tasks. */
static double time_polls(bench_t *bench)
{
	gn_batch_report_t reports[TASKS_PER_WORKER + 1] = { 0 };
	uint64_t sent_us = 10;
	size_t count = 0;
	gint64 start_us;

	gn_batch_bucket_foreach(bench->bucket, collect_report, reports);
	while (count < TASKS_PER_WORKER && reports[count].task)
		count++;
	start_us = g_get_monotonic_time();
	for (unsigned i = 0; i < bench->repeats * 10; i++)
		poll_worker(bench, 0, ++sent_us, reports, count, 0);
	return elapsed_ns(start_us, bench->repeats * 10);
}

/** Returns the time of a commit after the cancellation of one task. */
static double time_commits(bench_t *bench)
{
	gint64 start_us = g_get_monotonic_time();

	for (unsigned i = 0; i < bench->repeats; i++) {
		gn_batch_commit_t write;
		uint64_t id = gn_task_id_make(0, 1 + i);
		gn_outcome_t outcome;
		uint64_t seq;

		gn_batch_bucket_cancel(bench->bucket, id, &outcome, &seq);
		if (!gn_batch_bucket_next_commit(bench->bucket, &write))
			return 0;
		gn_batch_bucket_on_commit(bench->bucket, write.change_id, GN_OK,
					  ++bench->revision);
	}
	return elapsed_ns(start_us, bench->repeats);
}

static double time_decodes(bench_t *bench)
{
	gint64 start_us = g_get_monotonic_time();

	for (unsigned i = 0; i < bench->repeats; i++) {
		gn_batch_value_t *value;

		gn_batch_codec_decode(bench->frame, bench->stored, 0, &value,
				      NULL);
		talloc_free(value);
	}
	return elapsed_ns(start_us, bench->repeats);
}

static double time_ticks(bench_t *bench)
{
	gint64 start_us = g_get_monotonic_time();

	for (unsigned i = 0; i < bench->repeats; i++)
		gn_batch_bucket_tick(bench->bucket);
	return elapsed_ns(start_us, bench->repeats);
}

static void bench_bucket(bench_t *bench, unsigned target_count)
{
	unsigned count = 0;
	double poll_ns;
	double tick_ns;
	double decode_ns;
	double commit_ns;
	size_t bytes;

	set_up(bench);
	while (count < target_count && !submit(bench, count))
		count++;
	for (unsigned i = 0; i < count / TASKS_PER_WORKER; i++)
		poll_worker(bench, i, 1, NULL, 0, TASKS_PER_WORKER);
	commit(bench);
	bytes = bench->stored.len;
	poll_ns = time_polls(bench);
	tick_ns = time_ticks(bench);
	decode_ns = time_decodes(bench);
	commit_ns = time_commits(bench);
	printf("%8u %8u %10zu %9.1f %12.0f %9.1f %12.0f %9.0f %10.0f\n",
	       target_count, count, bytes, (double)bytes / count, commit_ns,
	       commit_ns / count, decode_ns, poll_ns, tick_ns);
	talloc_free(bench->frame);
}

/** Measures one choice among @p count waiting tasks of @p teams teams. */
static void bench_order(bench_t *bench, unsigned count, unsigned teams)
{
	gn_task_queue_t *queue;
	unsigned choice_count = 0;
	size_t groups;
	gint64 start_us;

	bench->frame = talloc_new(NULL);
	gn_clock_init_paused(&bench->clock, 1000ULL * GN_US_PER_S);
	queue = gn_task_queue_create(bench->frame, &bucket_params.queue,
				     &bench->clock, bench->rand);
	for (unsigned i = 0; i < count; i++) {
		char team[GN_NAME_MAX];
		gn_task_request_t request = {
			.work_class = GN_CLASS_BATCH,
			.kind = GN_STR("k"),
			.service = GN_STR("s"),
			.priority = i / teams % GN_TASK_PRIORITIES,
			.cores = 1,
		};

		g_snprintf(team, sizeof(team), "team-%02u", i % teams);
		request.team = gn_str_from(team);
		gn_task_queue_add(
			queue, gn_task_create(bench->frame, i + 1, &request,
					      gn_clock_now_us(&bench->clock)));
	}
	groups = gn_task_queue_group_count(queue);
	start_us = g_get_monotonic_time();
	for (; choice_count < count / 2; choice_count++) {
		gn_batch_worker_t worker = { .name = "w",
					     .service = "s",
					     .free_tasks = 8,
					     .free_cores = 32 };

		if (!gn_task_queue_take_next(queue, &worker))
			break;
	}
	printf("%8u %8zu %12.0f\n", count, groups,
	       elapsed_ns(start_us, choice_count));
	talloc_free(bench->frame);
}

int main(int argc, char **argv)
{
	static const unsigned sizes[] = { 100, 300, 1000, 3000, 10000 };
	bench_t bench = { .rand = g_rand_new_with_seed(1), .repeats = 50 };

	if (argc > 1)
		bench.repeats = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
	printf("bucket, %d bytes of specification a task, %d tasks a worker\n",
	       SPEC_LEN, TASKS_PER_WORKER);
	printf("%8s %8s %10s %9s %12s %9s %12s %9s %10s\n", "wanted", "tasks",
	       "bytes", "bytes/tk", "commit ns", "ns/tk", "decode ns",
	       "poll ns", "tick ns");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_bucket(&bench, sizes[i]);
	printf("\nchoice among waiting tasks\n%8s %8s %12s\n", "waiting",
	       "groups", "ns a choice");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_order(&bench, sizes[i], 1);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_order(&bench, sizes[i], TEAMS);
	g_rand_free(bench.rand);
	return 0;
}
