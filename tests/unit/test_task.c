#include <glib.h>
#include <string.h>

#include "batch/codec.h"
#include "common/str.h"

static gn_task_request_t make_request(void)
{
	return (gn_task_request_t){
		.work_class = GN_CLASS_BATCH,
		.team = GN_STR("planning"),
		.kind = GN_STR("optimise"),
		.service = GN_STR("timing-planner"),
		.key = GN_STR("night-17"),
		.priority = 1,
		.cores = 4,
		.memory_mb = 8192,
		.run_ms = 600000,
		.checkpoint_ms = 2000,
		.spec = GN_STR("network=north"),
	};
}

typedef struct request_case_s {
	const char *name;
	size_t offset; /**< offset of the field to put out of bounds */
	unsigned value; /**< value out of bounds */
} request_case_t;

#define FIELD(field) offsetof(gn_task_request_t, field)

static const request_case_t request_cases[] = {
	{ "class", FIELD(work_class), GN_CLASS_QUICK },
	{ "priority", FIELD(priority), GN_TASK_PRIORITIES },
	{ "cores", FIELD(cores), GN_TASK_CORES_MAX + 1 },
	{ "memory", FIELD(memory_mb), GN_TASK_MEMORY_MB_MAX + 1 },
	{ "accelerators", FIELD(accelerators), GN_TASK_ACCELERATORS_MAX + 1 },
};

static void test_request(const void *data)
{
	const request_case_t *c = data;
	gn_task_request_t request = make_request();

	g_assert_cmpint(gn_task_request_check(&request), ==, GN_OK);
	memcpy((char *)&request + c->offset, &c->value, sizeof(c->value));
	g_assert_cmpint(gn_task_request_check(&request), ==, GN_ERR_RANGE);
}

static void test_request_text(void)
{
	gn_task_request_t request = make_request();
	char name[GN_NAME_MAX + 1];

	memset(name, 'x', sizeof(name));
	request.team = (gn_str_t){ name, sizeof(name) };
	g_assert_cmpint(gn_task_request_check(&request), ==, GN_ERR_RANGE);
	request.team = GN_STR("a\0b");
	g_assert_cmpint(gn_task_request_check(&request), ==, GN_ERR_RANGE);
}

static void test_id(void)
{
	uint64_t id = gn_task_id_make(511, 0x123456789abULL);
	uint64_t parsed = 0;
	char text[GN_TASK_ID_SIZE];

	gn_task_id_format(id, text);
	g_assert_cmpstr(text, ==, "01ff-0123456789ab");
	g_assert_cmpint(gn_task_id_parse(gn_str_from(text), &parsed), ==,
			GN_OK);
	g_assert_cmpuint(parsed, ==, id);
	g_assert_cmpuint(gn_task_id_bucket(parsed), ==, 511);
	g_assert_cmpint(gn_task_id_parse(GN_STR("01ff-0123456789aG"), &parsed),
			==, GN_ERR_INVALID);
	g_assert_cmpint(gn_task_id_parse(GN_STR("01ff"), &parsed), ==,
			GN_ERR_INVALID);
}

static gn_batch_value_t *make_value(TALLOC_CTX *parent, uint64_t now_us)
{
	gn_batch_value_t *value = talloc_zero(parent, gn_batch_value_t);
	gn_task_request_t request = make_request();
	gn_task_t *task = gn_task_create(value, gn_task_id_make(3, 7), &request,
					 now_us - 5 * GN_US_PER_S);

	value->bucket = 3;
	value->owner = 77;
	value->owner_epoch = 9;
	value->change_id = 1234;
	value->next_serial = 8;
	value->predecessors[0] = (gn_batch_predecessor_t){ 66, 5 };
	value->predecessor_count = 1;
	value->tasks = talloc_array(value, gn_task_t *, 1);
	value->tasks[0] = task;
	value->task_count = 1;
	task->state = GN_TASK_CHECKPOINTED;
	task->claim = 2;
	gn_task_set_text(task, &task->worker, GN_STR("w1"));
	gn_task_set_text(task, &task->checkpoint, GN_STR("ckpt-2"));
	gn_task_add_failed_worker(task, "w9");
	task->attempts = 1;
	task->not_before_us = now_us + 3 * GN_US_PER_S;
	return value;
}

static void test_codec(void)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	uint64_t now_us = 100 * GN_US_PER_S;
	uint64_t later_us = 2 * GN_US_PER_S;
	gn_batch_value_t *loaded = NULL;
	const gn_task_t *task;
	gn_error_t error;
	gn_str_t bytes;

	g_assert_cmpint(gn_batch_codec_encode(frame, make_value(frame, now_us),
					      now_us, &bytes),
			==, GN_OK);
	/* The decoding host booted two seconds ago. */
	g_assert_cmpint(
		gn_batch_codec_decode(frame, bytes, later_us, &loaded, &error),
		==, GN_OK);
	g_assert_cmpuint(loaded->owner, ==, 77);
	g_assert_cmpuint(loaded->owner_epoch, ==, 9);
	g_assert_cmpuint(loaded->change_id, ==, 1234);
	g_assert_cmpuint(loaded->predecessors[0].acked, ==, 5);
	task = loaded->tasks[0];
	g_assert_cmpstr(task->checkpoint, ==, "ckpt-2");
	g_assert_cmpstr(task->key, ==, "night-17");
	g_assert_cmpuint(task->claim, ==, 2);
	g_assert_true(task->ordered);
	g_assert_true(gn_task_has_failed_on(task, "w9"));
	g_assert_cmpuint(later_us - task->since_us, ==, 5 * GN_US_PER_S);
	g_assert_cmpuint(task->not_before_us, ==, 5 * GN_US_PER_S);
	talloc_free(frame);
}

/**
 * Truncated and bit-flipped values are either refused or decoded into records
 * that hold their invariants.
 */
static void test_codec_damage(void)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	uint64_t now_us = 100 * GN_US_PER_S;
	GRand *rand = g_rand_new_with_seed(5);
	gn_str_t bytes;

	g_assert_cmpint(gn_batch_codec_encode(frame, make_value(frame, now_us),
					      now_us, &bytes),
			==, GN_OK);
	for (size_t i = 0; i < 5000; i++) {
		char *copy = talloc_memdup(frame, bytes.data, bytes.len);
		gn_batch_value_t *loaded = NULL;
		size_t len = i < bytes.len ? i : bytes.len;
		gn_code_t code;

		if (i >= bytes.len)
			copy[g_rand_int_range(rand, 0, (gint32)len)] ^=
				(char)(1 << g_rand_int_range(rand, 0, 8));
		code = gn_batch_codec_decode(frame, (gn_str_t){ copy, len },
					     now_us, &loaded, NULL);
		if (!code && loaded->task_count)
			gn_task_assert(loaded->tasks[0]);
		talloc_free(loaded);
		talloc_free(copy);
	}
	g_rand_free(rand);
	talloc_free(frame);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		char *path = g_strdup_printf("/task/request/%s",
					     request_cases[i].name);

		g_test_add_data_func(path, &request_cases[i], test_request);
		g_free(path);
	}
	g_test_add_func("/task/request/text", test_request_text);
	g_test_add_func("/task/id", test_id);
	g_test_add_func("/task/codec", test_codec);
	g_test_add_func("/task/codec/damage", test_codec_damage);
	return g_test_run();
}
