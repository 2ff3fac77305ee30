/**
 * @file bench_wire.c
 * @brief Measures bytes and processor time of each control message.
 *
 * Prints one line per message: encoded bytes, bytes with the ZMTP frame header,
 * and processor time in nanoseconds to pack and to unpack and check it.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "batch/report.h"
#include "wire/gypsumnotch.pb-c.h"
#include "gypsumnotch.h"

#define ROUNDS 20000
#define NS_PER_S 1000000000ULL
#define BUFFER_SIZE (64 * 1024)
/** ZMTP frame header: flags and a length of one byte, or of eight above 255. */
#define FRAME_SMALL 2
#define FRAME_LARGE 9
#define FRAME_SMALL_MAX 255

#define MAX_TASKS 15
#define MAX_LINES 27
#define SAMPLE_REVISION 14235000 /* a year of 39,000 changes per day */
#define SAMPLE_SEQUENCE 172800 /* a day of two heartbeats per second */

static uint8_t buffer[BUFFER_SIZE];
static uint8_t body[BUFFER_SIZE];

static uint64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static bool is_name(const char *text)
{
	return strnlen(text, GN_NAME_MAX + 1) <= GN_NAME_MAX;
}

/** Performs the checks of a receiver: bounds of repeated fields and strings. */
static bool check(const Gn__Envelope *e)
{
	if (e->version != GN_WIRE_VERSION)
		return false;
	switch (e->body_case) {
	case GN__ENVELOPE__BODY_DISPATCH:
		return is_name(e->dispatch->service) &&
		       e->dispatch->body.len <= GN_BODY_MAX;
	case GN__ENVELOPE__BODY_ANSWER:
		return e->answer->outcome < GN_OUTCOME_COUNT &&
		       e->answer->reason < GN_CODE_COUNT;
	case GN__ENVELOPE__BODY_TASK_POLL:
		for (size_t i = 0; i < e->task_poll->n_runs; i++)
			if (!e->task_poll->runs[i]->epoch)
				return false;
		return true;
	case GN__ENVELOPE__BODY_TASK_ORDERS:
		for (size_t i = 0; i < e->task_orders->n_buckets; i++)
			if (!e->task_orders->buckets[i]->owner_epoch)
				return false;
		return true;
	case GN__ENVELOPE__BODY_CELL_SUMMARY:
		for (size_t i = 0; i < e->cell_summary->n_changed; i++)
			if (!e->cell_summary->changed[i]->load)
				return false;
		return true;
	default:
		return e->body_case != GN__ENVELOPE__BODY__NOT_SET;
	}
}

static void measure(const char *name, size_t count, const Gn__Envelope *e)
{
	size_t size = gn__envelope__get_packed_size(e);
	size_t frame = size > FRAME_SMALL_MAX ? FRAME_LARGE : FRAME_SMALL;
	uint64_t start = cpu_ns();
	uint64_t pack_ns;
	uint64_t unpack_ns;

	g_assert_cmpuint(size, <=, sizeof(buffer));
	for (int i = 0; i < ROUNDS; i++)
		gn__envelope__pack(e, buffer);
	pack_ns = (cpu_ns() - start) / ROUNDS;
	start = cpu_ns();
	for (int i = 0; i < ROUNDS; i++) {
		Gn__Envelope *got = gn__envelope__unpack(NULL, size, buffer);

		g_assert_true(got && check(got));
		gn__envelope__free_unpacked(got, NULL);
	}
	unpack_ns = (cpu_ns() - start) / ROUNDS;
	printf("wire message=%-12s count=%-4zu bytes=%-5zu framed=%-5zu "
	       "pack_ns=%-5" PRIu64 " unpack_ns=%" PRIu64 "\n",
	       name, count, size, size + frame, pack_ns, unpack_ns);
}

static void envelope_init(Gn__Envelope *e, Gn__Envelope__BodyCase body_case)
{
	gn__envelope__init(e);
	e->version = GN_WIRE_VERSION;
	e->incarnation = 0x1122334455667788;
	e->session = 0x2233445566778899;
	e->body_case = body_case;
}

static void load_init(Gn__Load *load)
{
	gn__load__init(load);
	load->running_requests = 31;
	load->running_tasks = 8;
	load->service_time_us = 12500;
	load->tail_time_us = 48000;
	load->backend_up = true;
}

static void measure_beats(void)
{
	Gn__Envelope e;
	Gn__Load load;
	Gn__Beat beat = GN__BEAT__INIT;
	Gn__BeatAck ack = GN__BEAT_ACK__INIT;

	load_init(&load);
	beat.sequence = SAMPLE_SEQUENCE;
	beat.load = &load;
	beat.config_revision = SAMPLE_REVISION;
	envelope_init(&e, GN__ENVELOPE__BODY_BEAT);
	e.beat = &beat;
	measure("beat", 1, &e);
	ack.sequence = SAMPLE_SEQUENCE;
	ack.config_revision = SAMPLE_REVISION;
	envelope_init(&e, GN__ENVELOPE__BODY_BEAT_ACK);
	e.beat_ack = &ack;
	measure("beat-ack", 1, &e);
}

static void measure_requests(size_t size)
{
	Gn__Envelope e;
	Gn__Load load;
	Gn__Dispatch dispatch = GN__DISPATCH__INIT;
	Gn__Answer answer = GN__ANSWER__INIT;

	load_init(&load);
	dispatch.request = SAMPLE_SEQUENCE;
	dispatch.agent_incarnation = SAMPLE_SEQUENCE;
	dispatch.service = (char *)"timing-planner";
	dispatch.budget_us = 1500000;
	dispatch.body.data = body;
	dispatch.body.len = size;
	envelope_init(&e, GN__ENVELOPE__BODY_DISPATCH);
	e.dispatch = &dispatch;
	measure("dispatch", size, &e);
	answer.request = SAMPLE_SEQUENCE;
	answer.status = 200;
	answer.body.data = body;
	answer.body.len = size;
	answer.load = &load;
	envelope_init(&e, GN__ENVELOPE__BODY_ANSWER);
	e.answer = &answer;
	measure("answer", size, &e);
}

/* A sample run. The runs of a worker belong to buckets of different owners. */
#define SAMPLE_TASK 0x0064000000000042ULL
#define SAMPLE_EPOCH 0x0000000700000003ULL

static void measure_polls(size_t count)
{
	Gn__Envelope e;
	Gn__TaskRun runs[MAX_TASKS];
	Gn__TaskRun *pointers[MAX_TASKS];
	Gn__TaskPoll poll = GN__TASK_POLL__INIT;

	for (size_t i = 0; i < count; i++) {
		gn__task_run__init(&runs[i]);
		runs[i].task = SAMPLE_TASK + i;
		runs[i].epoch = SAMPLE_EPOCH;
		pointers[i] = &runs[i];
	}
	poll.sent_us = SAMPLE_SEQUENCE;
	poll.free_tasks = 3;
	poll.free_cores = 20;
	poll.free_memory_mb = 64000;
	poll.n_runs = count;
	poll.runs = pointers;
	envelope_init(&e, GN__ENVELOPE__BODY_TASK_POLL);
	e.task_poll = &poll;
	measure("task-poll", count, &e);
}

static void spec_init(Gn__TaskSpec *spec)
{
	gn__task_spec__init(spec);
	spec->work_class = GN_CLASS_BATCH;
	spec->team = (char *)"network";
	spec->kind = (char *)"network-timing";
	spec->service = (char *)"timing-planner";
	spec->cores = 4;
	spec->memory_mb = 16000;
	spec->spec.data = body;
	spec->spec.len = 256;
}

static void measure_orders(size_t count, bool starts)
{
	Gn__Envelope e;
	Gn__TaskSpec specs[MAX_TASKS];
	Gn__TaskOrder orders[MAX_TASKS];
	Gn__TaskOrder *pointers[MAX_TASKS];
	Gn__BucketOrders bucket = GN__BUCKET_ORDERS__INIT;
	Gn__BucketOrders *buckets[] = { &bucket };
	Gn__TaskOrders message = GN__TASK_ORDERS__INIT;

	for (size_t i = 0; i < count; i++) {
		spec_init(&specs[i]);
		gn__task_order__init(&orders[i]);
		orders[i].kind = starts ? GN_ORDER_START : GN_ORDER_RENEW;
		orders[i].task = SAMPLE_TASK + i;
		orders[i].epoch = SAMPLE_EPOCH;
		orders[i].promise_ms = 10000;
		orders[i].spec = starts ? &specs[i] : NULL;
		pointers[i] = &orders[i];
	}
	bucket.bucket = 100;
	bucket.owner_epoch = 7;
	bucket.n_orders = count;
	bucket.orders = pointers;
	message.sent_us = SAMPLE_SEQUENCE;
	message.n_buckets = 1;
	message.buckets = buckets;
	envelope_init(&e, GN__ENVELOPE__BODY_TASK_ORDERS);
	e.task_orders = &message;
	measure(starts ? "start-256" : "renewals", count, &e);
}

static void measure_summaries(size_t count)
{
	Gn__Envelope e;
	Gn__Load load;
	Gn__WorkerLine lines[MAX_LINES];
	Gn__WorkerLine *pointers[MAX_LINES];
	Gn__CellSummary summary = GN__CELL_SUMMARY__INIT;

	load_init(&load);
	for (size_t i = 0; i < count; i++) {
		gn__worker_line__init(&lines[i]);
		lines[i].index = (uint32_t)(9000 + i);
		lines[i].load = &load;
		pointers[i] = &lines[i];
	}
	summary.cell = 20;
	summary.sequence = SAMPLE_SEQUENCE;
	summary.config_revision = SAMPLE_REVISION;
	summary.live = MAX_LINES;
	summary.n_changed = count;
	summary.changed = pointers;
	envelope_init(&e, GN__ENVELOPE__BODY_CELL_SUMMARY);
	e.cell_summary = &summary;
	measure("cell-summary", count, &e);
}

/** Measures a change of @p size bytes of TOML; a worker's entry has 90. */
static void measure_config(size_t size)
{
	Gn__Envelope e;
	Gn__Config config = GN__CONFIG__INIT;

	config.revision = SAMPLE_REVISION;
	config.inventory.data = body;
	config.inventory.len = size;
	envelope_init(&e, GN__ENVELOPE__BODY_CONFIG);
	e.config = &config;
	measure("config", size, &e);
}

int main(void)
{
	static const size_t bodies[] = { 0, 256, 4096 };
	static const size_t polls[] = { 0, 1, 8, 15 };
	static const size_t lines[] = { 0, 5, 27 };
	static const size_t changes[] = { 0, 90, 250, 1000, 10000 };

	memset(body, 'x', sizeof(body));
	measure_beats();
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		measure_requests(bodies[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(polls); i++)
		measure_polls(polls[i]);
	for (size_t i = 1; i <= MAX_TASKS; i += 7)
		measure_orders(i, false);
	for (size_t i = 1; i <= MAX_TASKS; i += 7)
		measure_orders(i, true);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		measure_summaries(lines[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		measure_config(changes[i]);
	return 0;
}
