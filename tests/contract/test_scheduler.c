/*
 * A scheduler that answers by its configuration, with stand-ins for the HTTP
 * server, the links and the key-value service, on the paused clock.
 */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_internal.h"
#include "support/capture.h"
#include "support/fake_kv.h"

#define CONFIG_KEY "configuration"
#define HOST "front-1"
#define ADDRESS "127.0.0.1:1"
#define JOB "00000000000000aa"
#define START_US (1000 * GN_US_PER_S)
#define STEP_US (2 * GN_US_PER_MS)
#define PAUSE_MS 5000
/** Time to live of a leader's lease that lasts beyond a pause. */
#define TTL_MS 8000

/** The scheduler, and the stand-ins for its peers. */
typedef struct rig_s {
	gn_runtime_t runtime;
	gn_settings_t settings;
	kv_state_t *state;
	fake_kv_t *fake;
	scheduler_t *scheduler;
	gn_link_config_t link; /**< Of the scheduler, for other schedulers. */
	Gn__JobReply reply; /**< The last reply to another scheduler. */
	uint64_t epoch; /**< Epoch of the last message to an executor. */
	size_t orders; /**< Orders in all messages to executors. */
	uint64_t basis; /**< Report that the last of them were based on. */
	size_t largest; /**< Size of the largest of these messages, bytes. */
	uint64_t reports; /**< Number of reports sent as executors. */
	unsigned replies;
	gn_http_request_t request;
	unsigned answers;
	char path[8];
	/** Calls to the key-value service that are not the watch's are
	 * answered now. */
	bool service_answers;
	uint64_t answered_us; /**< Their last answer; 0: now. */
} rig_t;

static rig_t *rig;

/* ======   Stand-ins   ====== */

gn_code_t gn_link_listen(TALLOC_CTX *parent, const gn_link_config_t *config,
			 gn_link_t **link, gn_error_t *error)
{
	(void)error;
	rig->link = *config;
	*link = talloc_new(parent);
	return GN_OK;
}

gn_code_t gn_link_connect(TALLOC_CTX *parent, const gn_link_config_t *config,
			  gn_link_t **link, gn_error_t *error)
{
	(void)config;
	(void)error;
	*link = talloc_new(parent);
	return GN_OK;
}

gn_code_t gn_link_send(gn_link_t *link, const gn_link_peer_t *peer,
		       Gn__Envelope *envelope)
{
	(void)link;
	(void)peer;
	if (envelope->body_case == GN__ENVELOPE__BODY_WORKER_ORDERS) {
		rig->epoch = envelope->worker_orders->epoch;
		rig->orders += envelope->worker_orders->n_orders;
		if (envelope->worker_orders->n_orders)
			rig->basis = envelope->worker_orders->basis;
		rig->largest = MAX(rig->largest,
				   gn__envelope__get_packed_size(envelope));
	}
	if (envelope->body_case != GN__ENVELOPE__BODY_JOB_REPLY)
		return GN_OK;
	rig->reply = *envelope->job_reply;
	rig->replies++;
	return GN_OK;
}

gn_code_t gn_http_server_start(TALLOC_CTX *parent,
			       const gn_http_server_config_t *config,
			       gn_http_server_t **server, gn_error_t *error)
{
	(void)config;
	(void)error;
	*server = talloc_new(parent);
	return GN_OK;
}

void gn_http_server_answer(gn_http_server_t *server, gn_http_request_t *request)
{
	(void)server;
	g_assert_true(request == &rig->request);
	rig->answers++;
}

void gn_http_server_quiesce(gn_http_server_t *server)
{
	(void)server;
}

size_t gn_http_server_pending(const gn_http_server_t *server)
{
	(void)server;
	return 0;
}

gn_kv_http_t *gn_kv_http_create(TALLOC_CTX *parent,
				const gn_kv_http_options_t *options)
{
	(void)options;
	return talloc_new(parent);
}

gn_kv_t *gn_kv_http_client(gn_kv_http_t *http)
{
	(void)http;
	return fake_kv_client(rig->fake);
}

gn_kv_health_t gn_kv_http_health(const gn_kv_http_t *http)
{
	uint64_t now_us = gn_clock_now_us(&rig->runtime.clock);
	gn_kv_health_t health = { .answered_us = START_US };

	(void)http;
	if (rig->answered_us)
		health.answered_us = rig->answered_us;
	else if (rig->service_answers)
		health.answered_us = now_us;
	else
		health.failed_us = now_us;
	return health;
}

/* ======   Adapter   ====== */

/* A configuration is its version and the names of its queues; the path of a
 * request is "/" and a queue's name, followed by "/" for the state of the job. */
static gn_code_t read_config(TALLOC_CTX *parent, gn_str_t text,
			     gn_queues_t **result, gn_error_t *error)
{
	char *copy = g_strndup(text.data, text.len);
	char **words = g_strsplit(copy, " ", -1);
	gn_queues_t *queues = talloc_zero(parent, gn_queues_t);
	gn_queue_t *rows;

	(void)error;
	queues->version = g_ascii_strtoull(words[0], NULL, 10);
	queues->queue_count = g_strv_length(words) - 1;
	rows = talloc_zero_array(queues, gn_queue_t, queues->queue_count);
	for (size_t i = 0; i < queues->queue_count; i++) {
		rows[i].name = talloc_strdup(queues, words[i + 1]);
		rows[i].host = "host";
		rows[i].prefix = talloc_asprintf(queues, "/%s", words[i + 1]);
		rows[i].service = "service";
		rows[i].max_attempts = 1;
		rows[i].stretch = 1;
	}
	queues->queues = rows;
	g_strfreev(words);
	g_free(copy);
	*result = queues;
	return GN_OK;
}

static gn_code_t read_call(const gn_http_request_t *request,
			   const gn_queues_t *queues, gn_job_call_t *call,
			   gn_error_t *error)
{
	memset(call, 0, sizeof(*call));
	call->kind = strchr(request->path + 1, '/') ? GN_CALL_STATE
						    : GN_CALL_COUNT_WAITING;
	g_strlcpy(call->job, JOB, sizeof(call->job));
	call->queue = gn_queues_find_for_request(queues, GN_STR("host"),
						 gn_str_from(request->path));
	return call->queue ? GN_OK
			   : gn_error_set(error, GN_ERR_NOT_FOUND, "request",
					  NULL, "no queue");
}

static void write_answer(const gn_job_answer_t *answer, gn_http_answer_t *http)
{
	http->status = answer->result;
	http->retry_after_s = answer->retry_after_s;
}

static const gn_adapter_t adapter = { .config_key = CONFIG_KEY,
				      .read_config = read_config,
				      .read_call = read_call,
				      .write_answer = write_answer };

/* ======   Fixture   ====== */

static void set_key(const char *key, gn_str_t value)
{
	const kv_item_t *item = kv_state_find(rig->state, key);
	const gn_kv_put_t put = { .key = gn_str_from(key),
				  .value = value,
				  .change_id = GN_STR("x"),
				  .expected = item ? item->revision : 0 };
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_put(rig->state, gn_clock_now_us(&rig->runtime.clock), &put,
		     &answer);
	g_assert_cmpint(answer.code, ==, GN_OK);
	kv_answer_clear(&answer);
}

static void set_config(const char *text)
{
	set_key(CONFIG_KEY, gn_str_from(text));
}

static void run_ms(unsigned ms)
{
	for (unsigned i = 0; i * STEP_US < ms * GN_US_PER_MS; i++) {
		gn_clock_advance(&rig->runtime.clock, STEP_US);
		fake_kv_run(rig->fake);
		gn_scheduler_role.tick(rig->scheduler);
	}
}

/* Creates the rig without the scheduler. */
static void create_rig(const char *config)
{
	rig = g_new0(rig_t, 1);
	rig->service_answers = true;
	rig->settings.name = HOST;
	rig->settings.link_listen = ADDRESS;
	rig->settings.lease_ttl_ms = TTL_MS;
	rig->settings.jobs.lease_ms = 4000;
	rig->settings.jobs.lease_max_ms = 10000;
	rig->settings.jobs.depose_ms = 5000;
	rig->settings.jobs.retain_s = 150;
	rig->settings.jobs.far_factor = 2;
	rig->settings.jobs.configuration_ms = 2000;
	rig->settings.jobs.cores = 1;
	rig->settings.jobs.link_mbps = 1000;
	gn_clock_init_paused(&rig->runtime.clock, START_US);
	rig->runtime.adapter = &adapter;
	rig->runtime.settings = &rig->settings;
	rig->runtime.counters = gn_counters_create(NULL);
	rig->runtime.rand = g_rand_new_with_seed(1);
	rig->runtime.incarnation = 1;
	rig->state = kv_state_create();
	rig->fake = fake_kv_create(rig->state, &rig->runtime.clock, 1);
	set_config(config);
}

static void start_scheduler(void)
{
	gn_error_t error = { 0 };
	void *state = NULL;

	g_assert_cmpint(gn_scheduler_role.start(&rig->runtime, &state, &error),
			==, GN_OK);
	rig->scheduler = state;
	run_ms(1000);
	g_assert_true(scheduler_is_serving(rig->scheduler));
}

static void open_rig(const char *config)
{
	create_rig(config);
	start_scheduler();
}

static void close_rig(void)
{
	talloc_free(rig->scheduler);
	fake_kv_free(rig->fake);
	kv_state_free(rig->state);
	g_rand_free(rig->runtime.rand);
	talloc_free(rig->runtime.counters);
	g_free(rig);
}

/* ======   Requests that other schedulers forward   ====== */

static const gn_link_peer_t peer = { .len = 1 };

/* Returns the length of a packed job of one task. */
static size_t pack_job(const char *id, uint8_t *packed)
{
	Gn__JobStep step = GN__JOB_STEP__INIT;
	Gn__JobStep *steps[] = { &step };
	Gn__JobSpec spec = GN__JOB_SPEC__INIT;

	step.count = 1;
	step.estimate_ms = 1000;
	spec.id = (char *)id;
	spec.queue = (char *)"old";
	spec.steps = steps;
	spec.n_steps = 1;
	return gn__job_spec__pack(&spec, packed);
}

static void assert_forwarded(gn_job_call_kind_t kind, uint64_t configuration,
			     gn_job_result_t result)
{
	Gn__JobCall call = GN__JOB_CALL__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	char job[] = JOB;
	char queue[] = "old";
	uint8_t packed[256];

	call.number = 1;
	call.kind = kind;
	call.job = job;
	call.queue = queue;
	call.configuration = configuration;
	call.spec.data = packed;
	call.spec.len = pack_job(JOB, packed);
	envelope.body_case = GN__ENVELOPE__BODY_JOB_CALL;
	envelope.job_call = &call;
	rig->replies = 0;
	rig->link.handler(rig->link.arg, &peer, &envelope);
	run_ms(100);
	g_assert_cmpuint(rig->replies, ==, 1);
	g_assert_cmpint(rig->reply.result, ==, result);
}

static void test_call_for_a_dropped_queue_from_a_scheduler_that_is_behind(void)
{
	open_rig("1 old");
	assert_forwarded(GN_CALL_COUNT_WAITING, 1, GN_RESULT_OK);
	set_config("2 new");
	run_ms(100);
	assert_forwarded(GN_CALL_COUNT_WAITING, 1, GN_RESULT_NO_QUEUE);
	assert_forwarded(GN_CALL_SUBMIT, 1, GN_RESULT_NO_QUEUE);
	/* The sender knows more than this leader. */
	assert_forwarded(GN_CALL_COUNT_WAITING, 3, GN_RESULT_OK);
	/* An earlier version of the sender's program. */
	assert_forwarded(GN_CALL_COUNT_WAITING, 0, GN_RESULT_OK);
	close_rig();
}

static void test_job_that_was_accepted_is_known_after_its_queue(void)
{
	open_rig("1 old");
	assert_forwarded(GN_CALL_SUBMIT, 1, GN_RESULT_OK);
	set_config("2 new");
	run_ms(100);
	assert_forwarded(GN_CALL_SUBMIT, 1, GN_RESULT_OK);
	assert_forwarded(GN_CALL_STATE, 1, GN_RESULT_OK);
	close_rig();
}

/* ======   Requests of callers   ====== */

static void send_request(const char *path)
{
	memset(&rig->request, 0, sizeof(rig->request));
	g_strlcpy(rig->path, path, sizeof(rig->path));
	rig->request.method = GN_HTTP_GET;
	rig->request.path = rig->path;
	rig->answers = 0;
	scheduler_on_http(rig->scheduler, &rig->request);
}

static void assert_answer(gn_job_result_t result)
{
	g_assert_cmpuint(rig->answers, ==, 1);
	g_assert_cmpint(rig->request.answer.status, ==, result);
}

/* The process stands still, and the configuration changes meanwhile. */
static void pause_with_change(const char *config)
{
	run_ms(500);
	gn_clock_advance(&rig->runtime.clock, PAUSE_MS * GN_US_PER_MS);
	set_config(config);
}

static void test_new_queue_is_not_refused_as_unknown_after_a_pause(void)
{
	open_rig("1 old");
	pause_with_change("2 old new");
	send_request("/new");
	g_assert_cmpuint(rig->answers, ==, 0);
	run_ms(250);
	assert_answer(GN_RESULT_OK);
	close_rig();
}

static void test_unknown_queue_is_refused_once_confirmed(void)
{
	open_rig("1 old");
	pause_with_change("2 old new");
	send_request("/odd");
	g_assert_cmpuint(rig->answers, ==, 0);
	run_ms(250);
	assert_answer(GN_RESULT_NO_QUEUE);
	send_request("/odd");
	assert_answer(GN_RESULT_NO_QUEUE);
	close_rig();
}

static void test_dropped_queue_takes_nothing_after_a_pause(void)
{
	open_rig("1 old");
	pause_with_change("2 new");
	send_request("/old");
	g_assert_cmpuint(rig->answers, ==, 0);
	run_ms(250);
	assert_answer(GN_RESULT_NO_QUEUE);
	close_rig();
}

static void test_unconfirmed_request_is_refused_with_a_time_to_return(void)
{
	open_rig("1 old");
	fake_kv_faults(rig->fake)->cut = true;
	run_ms(2500);
	send_request("/new");
	run_ms(290);
	g_assert_cmpuint(rig->answers, ==, 0);
	run_ms(20);
	assert_answer(GN_RESULT_NOT_LEADER);
	g_assert_cmpuint(rig->request.answer.retry_after_s, >=, 1);
	close_rig();
}

static void test_own_pause_is_no_outage(void)
{
	open_rig("1 old");
	rig->settings.lease_ttl_ms = 1000;
	pause_with_change("2 old");
	rig->answered_us =
		gn_clock_now_us(&rig->runtime.clock) - PAUSE_MS * GN_US_PER_MS;
	send_request("/old/");
	g_assert_cmpuint(rig->answers, ==, 0);
	rig->answered_us = 0;
	run_ms(100);
	assert_answer(GN_RESULT_NOT_FOUND);
	close_rig();
}

static void test_known_queue_is_served_in_an_outage(void)
{
	open_rig("1 old");
	fake_kv_faults(rig->fake)->cut = true;
	rig->service_answers = false;
	run_ms(2500);
	send_request("/old");
	assert_answer(GN_RESULT_OK);
	close_rig();
}

/* ======   Time of day   ====== */

static void run_both_clocks_ms(unsigned ms)
{
	for (unsigned i = 0; i < ms; i += 10) {
		run_ms(10);
		gn_clock_advance(&rig->scheduler->host_wall, 10 * GN_US_PER_MS);
	}
}

/* Due times and deadlines would be early by the step. */
static void test_time_of_day_that_is_set_forward_is_not_followed_at_once(void)
{
	const uint64_t noon_us = 1700000000 * (uint64_t)GN_US_PER_S;
	scheduler_t *scheduler;

	open_rig("1 old");
	scheduler = rig->scheduler;
	gn_clock_init_paused(&scheduler->host_wall, noon_us);
	gn_day_clock_init(&scheduler->day,
			  gn_runtime_now_us(scheduler->runtime), noon_us);
	run_both_clocks_ms(10000);
	gn_clock_advance(&scheduler->host_wall, 6 * GN_US_PER_S);
	run_both_clocks_ms(5000);
	g_assert_cmpuint(gn_clock_now_us(&scheduler->wall), <=,
			 noon_us + 15 * GN_US_PER_S);
	run_both_clocks_ms(6000);
	g_assert_cmpuint(gn_clock_now_us(&scheduler->wall), >=,
			 noon_us + 26 * GN_US_PER_S);
	close_rig();
}

/* ======   Entries of other writers   ====== */

static void put_job(const char *key_id, const char *spec_id, uint32_t status,
		    const char *host)
{
	Gn__TaskState task = GN__TASK_STATE__INIT;
	Gn__TaskState *tasks[] = { &task };
	Gn__JobState state = GN__JOB_STATE__INIT;
	g_autofree char *spec_key = g_strconcat("gn/jobs/", key_id, NULL);
	g_autofree char *state_key = g_strconcat("gn/states/", key_id, NULL);
	uint8_t packed[256];

	set_key(spec_key,
		(gn_str_t){ (char *)packed, pack_job(spec_id, packed) });
	task.status = status;
	task.host = (char *)host;
	task.life = (char *)host;
	state.tasks = tasks;
	state.n_tasks = 1;
	set_key(state_key, (gn_str_t){ (char *)packed,
				       gn__job_state__pack(&state, packed) });
}

static void test_odd_jobs_cost_no_other(void)
{
	static const char long_host[] =
		"0123456789012345678901234567890123456789012345678901234567890123";

	create_rig("1 old");
	put_job(JOB, JOB, 0, "");
	put_job("00000000000000ab", "00000000000000ac", 0, "");
	put_job("00000000000000ad", "00000000000000ad", 99, "");
	put_job("00000000000000ae", "00000000000000ae", GN_JOB_TASK_CLAIMED,
		"");
	put_job("00000000000000af", "00000000000000af", GN_JOB_TASK_CLAIMED,
		long_host);
	put_job("odd", "odd", 0, "");
	set_key("gn/jobs/00000000000000b0", GN_STR("[[[["));
	set_key("gn/states/00000000000000b0", GN_STR("\xff\xff\xff\xff\xff"));
	set_key("gn/states/00000000000000b1", GN_STR(""));
	set_key("gn/learned", GN_STR("{\"a\":1e999}"));
	set_key("gn/left/odd", GN_STR("\xff\xff"));
	start_scheduler();
	assert_forwarded(GN_CALL_STATE, 1, GN_RESULT_OK);
	g_assert_cmpuint(
		gn_counter_read(rig->scheduler->counters.refused_entries), ==,
		10);
	close_rig();
}

static void report_as(const char *host, const char *life, uint64_t born_ms)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	report.host = (char *)host;
	report.life = (char *)life;
	report.born_ms = born_ms;
	report.sequence = ++rig->reports;
	report.service = (char *)"service";
	report.list_age_ms = UINT32_MAX;
	report.cpu_milli = 4000;
	report.memory_mb = 1000;
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_REPORT;
	envelope.worker_report = &report;
	rig->link.handler(rig->link.arg, &peer, &envelope);
}

/*
 * Guards against calls to a worker that a call for its earlier life under the
 * same ID can follow, and against a write batch that is begun again while one
 * without writes is in flight.
 */
static void test_new_life_of_a_worker_has_a_later_epoch(void)
{
	uint64_t epoch;

	open_rig("1 old");
	report_as("side-1", "i-1", 1000);
	epoch = rig->epoch;
	g_assert_cmpuint(epoch, >, 0);
	run_ms(100);
	report_as("side-1", "i-1", 1000);
	g_assert_cmpuint(rig->epoch, ==, epoch);
	report_as("side-1", "i-1", 2000);
	run_ms(100);
	g_assert_cmpuint(rig->epoch, >, epoch);
	epoch = rig->epoch;
	report_as("side-2", "i-2", 2000);
	g_assert_cmpuint(rig->epoch, <, epoch);
	g_assert_true(scheduler_is_serving(rig->scheduler));
	g_assert_true(gn_ledger_is_idle(rig->scheduler->ledger));
	close_rig();
}

/* Guards against starts that never arrive, as their message is too large, and
 * that are repeated with all others for ever. */
static void test_orders_beyond_a_message_are_sent_in_parts(void)
{
	static char payload[GN_JOB_PAYLOAD_MAX];
	const gn_run_order_t order = {
		.kind = GN_RUN_ORDER_START,
		.task = JOB ".0.0.0",
		.attempt = 1,
		.life = { "i-1", 1000 },
		.payload = { payload, sizeof(payload) },
		.checkpoint = "",
		.ticket = "",
	};

	open_rig("1 old");
	report_as("side-1", "i-1", 1000);
	for (unsigned i = 0; i < 100; i++)
		scheduler_add_order(rig->scheduler, "side-1", &order);
	rig->orders = 0;
	run_ms(100);
	g_assert_cmpuint(rig->orders, ==, 100);
	g_assert_cmpuint(rig->largest, <, GN_BODY_MAX);
	close_rig();
}

/* Guards against a start that an executor takes for a fresh one after its claim
 * was released: it waits here while the store does not confirm the leader. */
static void test_start_that_waits_for_the_store_keeps_its_basis(void)
{
	const gn_run_order_t order = {
		.kind = GN_RUN_ORDER_START,
		.task = JOB ".0.0.0",
		.attempt = 1,
		.life = { "i-1", 1000 },
		.payload = GN_STR("x"),
		.checkpoint = "",
		.ticket = "",
	};
	uint64_t known;

	create_rig("1 old");
	rig->settings.lease_ttl_ms = 4 * TTL_MS;
	start_scheduler();
	fake_kv_faults(rig->fake)->cut = true;
	run_ms(5500);
	report_as("side-1", "i-1", 1000);
	known = rig->reports;
	rig->orders = 0;
	scheduler_add_order(rig->scheduler, "side-1", &order);
	run_ms(2000);
	g_assert_cmpuint(rig->orders, ==, 0);
	report_as("side-1", "i-1", 1000);
	fake_kv_faults(rig->fake)->cut = false;
	run_ms(2000);
	g_assert_true(scheduler_is_serving(rig->scheduler));
	if (rig->orders)
		g_assert_cmpuint(rig->basis, <=, known);
	close_rig();
}

static void test_odd_reports_cost_no_other(void)
{
	static const char long_name[] =
		"0123456789012345678901234567890123456789012345678901234567890123";

	open_rig("1 old");
	report_as("side-1", "i-1", 1000);
	report_as("", "i-1", 1000);
	report_as(long_name, "i-1", 1000);
	report_as("side-1", long_name, 2000);
	report_as("side-1", "i-2", UINT64_MAX);
	report_as("side-1", "i-3", 3000);
	g_assert_cmpuint(
		gn_counter_read(rig->scheduler->counters.refused_reports), ==,
		4);
	g_assert_cmpuint(gn_sched_stats(rig->scheduler->sched).workers, ==, 1);
	close_rig();
}

/* ======   Log lines   ====== */

static void refuse_start(void)
{
	Gn__OrderResult result = GN__ORDER_RESULT__INIT;
	Gn__OrderResult *results[] = { &result };
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	Gn__Envelope envelope = GN__ENVELOPE__INIT;

	result.task = (char *)JOB ".0.0.0";
	result.verdict = GN_ORDER_OUTCOME_NO_ROOM;
	report.host = (char *)"side-1";
	report.life = (char *)"side-1";
	report.born_ms = 1000;
	report.sequence = ++rig->reports;
	report.service = (char *)"service";
	report.list_age_ms = UINT32_MAX;
	report.results = results;
	report.n_results = 1;
	envelope.body_case = GN__ENVELOPE__BODY_WORKER_REPORT;
	envelope.worker_report = &report;
	rig->link.handler(rig->link.arg, &peer, &envelope);
}

static bool has_member(const json_t *lines, const char *member)
{
	return json_object_get(json_array_get(lines, 0), member) != NULL;
}

/* Guards against lines that lack the ages of their leader and of its claims. */
static void test_lines_on_a_claim_do_not_show_their_basis(void)
{
	static const char *const events[] = { "worker", "release" };

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		bool is_claim = !strcmp(events[i], "release");
		capture_t capture;
		json_t *lines;

		create_rig("1 old");
		put_job(JOB, JOB, GN_JOB_TASK_CLAIMED, "side-1");
		start_scheduler();
		begin_capture(&capture);
		refuse_start();
		lines = end_capture(&capture, events[i]);
		g_assert_cmpuint(json_array_size(lines), >=, 1);
		g_assert_cmpint(read_number(lines, 0, "serving_ms"), >, 900);
		g_assert_cmpint(read_number(lines, 0, "serving_ms"), <=, 1000);
		read_number(lines, 0, "heard_ms");
		g_assert_cmpint(has_member(lines, "settled"), ==, is_claim);
		g_assert_cmpint(has_member(lines, "ordered_age_ms"), ==,
				is_claim);
		g_assert_false(has_member(lines, "worker_life"));
		json_decref(lines);
		close_rig();
	}
}

/* The life of the claim is another one than that of the worker. */
static void test_release_of_another_life_does_not_show_both(void)
{
	capture_t capture;
	json_t *lines;

	create_rig("1 old");
	put_job(JOB, JOB, GN_JOB_TASK_CLAIMED, "side-1");
	start_scheduler();
	begin_capture(&capture);
	report_as("side-1", "i-1", 1000);
	lines = end_capture(&capture, "release");
	g_assert_cmpuint(json_array_size(lines), ==, 1);
	g_assert_true(has_member(lines, "settled"));
	g_assert_true(has_member(lines, "worker_life"));
	g_assert_cmpint(read_number(lines, 0, "worker_born_ms"), ==, 0);
	json_decref(lines);
	close_rig();
}

static void stop_scheduler(void)
{
	rig->runtime.stopping = true;
	rig->runtime.stop_requested_us = gn_clock_now_us(&rig->runtime.clock);
	gn_scheduler_role.stop(rig->scheduler);
	run_ms(500);
}

static void test_planned_hand_over_does_not_show_its_claims(void)
{
	static const char *const events[] = { "resigning", "resign" };

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		capture_t capture;
		uint64_t epoch;
		json_t *lines;

		create_rig("1 old");
		/* A claim without a time is of an older build, and settled. */
		put_job(JOB, JOB, GN_JOB_TASK_CLAIMED, "side-1");
		start_scheduler();
		epoch = rig->scheduler->epoch;
		begin_capture(&capture);
		stop_scheduler();
		lines = end_capture(&capture, events[i]);
		g_assert_cmpuint(json_array_size(lines), ==, 1);
		g_assert_cmpint(read_number(lines, 0, "epoch"), ==, epoch);
		g_assert_cmpint(read_number(lines, 0, "claims"), ==, 1);
		g_assert_cmpint(read_number(lines, 0, "unsettled"), ==, 0);
		json_decref(lines);
		close_rig();
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
		"/scheduler/call_for_a_dropped_queue_from_a_scheduler_"
		"that_is_behind",
		test_call_for_a_dropped_queue_from_a_scheduler_that_is_behind);
	g_test_add_func(
		"/scheduler/job_that_was_accepted_is_known_after_its_queue",
		test_job_that_was_accepted_is_known_after_its_queue);
	g_test_add_func(
		"/scheduler/new_queue_is_not_refused_as_unknown_after_a_pause",
		test_new_queue_is_not_refused_as_unknown_after_a_pause);
	g_test_add_func("/scheduler/unknown_queue_is_refused_once_confirmed",
			test_unknown_queue_is_refused_once_confirmed);
	g_test_add_func("/scheduler/dropped_queue_takes_nothing_after_a_pause",
			test_dropped_queue_takes_nothing_after_a_pause);
	g_test_add_func(
		"/scheduler/unconfirmed_request_is_refused_with_a_time_to_return",
		test_unconfirmed_request_is_refused_with_a_time_to_return);
	g_test_add_func("/scheduler/own_pause_is_no_outage",
			test_own_pause_is_no_outage);
	g_test_add_func("/scheduler/known_queue_is_served_in_an_outage",
			test_known_queue_is_served_in_an_outage);
	g_test_add_func("/scheduler/odd_jobs_cost_no_other",
			test_odd_jobs_cost_no_other);
	g_test_add_func(
		"/scheduler/start_that_waits_for_the_store_keeps_its_basis",
		test_start_that_waits_for_the_store_keeps_its_basis);
	g_test_add_func("/scheduler/odd_reports_cost_no_other",
			test_odd_reports_cost_no_other);
	g_test_add_func("/scheduler/new_life_of_a_worker_has_a_later_epoch",
			test_new_life_of_a_worker_has_a_later_epoch);
	g_test_add_func("/scheduler/orders_beyond_a_message_are_sent_in_parts",
			test_orders_beyond_a_message_are_sent_in_parts);
	g_test_add_func(
		"/scheduler/time_of_day_that_is_set_forward_is_not_"
		"followed_at_once",
		test_time_of_day_that_is_set_forward_is_not_followed_at_once);
	g_test_add_func("/scheduler/lines_on_a_claim_do_not_show_their_basis",
			test_lines_on_a_claim_do_not_show_their_basis);
	g_test_add_func("/scheduler/release_of_another_life_does_not_show_both",
			test_release_of_another_life_does_not_show_both);
	g_test_add_func("/scheduler/planned_hand_over_does_not_show_its_claims",
			test_planned_hand_over_does_not_show_its_claims);
	return g_test_run();
}
