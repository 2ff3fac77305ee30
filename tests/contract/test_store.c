/* Cases of one change to the configuration. */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "config/store.h"
#include "support/fake_kv.h"

#define STEP_US (10 * GN_US_PER_MS)
#define TIMEOUT_MS 5000
/** What the check of these tests refuses. */
#define BAD_TEXT "bad"

/* What another operator does between the read and the write. */
typedef enum rival_e {
	RIVAL_NONE,
	RIVAL_INVENTORY,
	RIVAL_RULES,
	RIVAL_MANY /**< more changes than a document remembers */
} rival_t;

typedef struct store_case_s {
	const char *name;
	gn_store_change_t change;
	rival_t rival;
	double lose_answer;
	bool down;
	gn_code_t code;
	uint64_t revision; /* told */
	uint64_t stored; /* revision of the service afterwards */
} store_case_t;

#define INVENTORY(text, if_revision)                                          \
	{                                                                     \
		GN_CONFIG_INVENTORY, { text, sizeof(text) - 1 }, { "id", 2 }, \
			if_revision                                           \
	}

/* All begin with the document of revision 1. */
static const store_case_t store_cases[] = {
	{ "accepted", INVENTORY("new", 0), RIVAL_NONE, 0, false, GN_OK, 2, 2 },
	{ "named-revision", INVENTORY("new", 1), RIVAL_NONE, 0, false, GN_OK, 2,
	  2 },
	{ "other-revision", INVENTORY("new", 7), RIVAL_NONE, 0, false,
	  GN_ERR_CONFLICT, 1, 1 },
	{ "refused-by-check", INVENTORY(BAD_TEXT, 0), RIVAL_NONE, 0, false,
	  GN_ERR_INVALID, 1, 1 },
	{ "race-same-part", INVENTORY("new", 0), RIVAL_INVENTORY, 0, false,
	  GN_ERR_CONFLICT, 2, 2 },
	{ "race-other-part", INVENTORY("new", 0), RIVAL_RULES, 0, false, GN_OK,
	  3, 3 },
	{ "race-other-part-named", INVENTORY("new", 1), RIVAL_RULES, 0, false,
	  GN_ERR_CONFLICT, 2, 2 },
	{ "race-many", INVENTORY("new", 0), RIVAL_MANY, 0, false, GN_OK, 102,
	  102 },
	{ "down", INVENTORY("new", 0), RIVAL_NONE, 0, true, GN_ERR_UNAVAILABLE,
	  0, 1 },
	{ "answers-lost", INVENTORY("new", 0), RIVAL_NONE, 0.5, false, GN_OK, 2,
	  2 },
	{ "no-id",
	  { GN_CONFIG_RULES, { "x", 1 }, { "", 0 }, 0 },
	  RIVAL_NONE,
	  0,
	  false,
	  GN_ERR_INVALID,
	  0,
	  1 },
	{ "malformed-id",
	  { GN_CONFIG_RULES, { "x", 1 }, { "a b", 3 }, 0 },
	  RIVAL_NONE,
	  0,
	  false,
	  GN_ERR_INVALID,
	  0,
	  1 },
};

typedef struct reply_s {
	unsigned calls;
	gn_code_t code;
	uint64_t revision;
} reply_t;

typedef struct bench_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fake;
	gn_store_t *store;
	rival_t rival;
	unsigned rival_writes;
	unsigned adopted; /* documents put in use */
} bench_t;

static void take_result(void *context, const gn_store_result_t *result)
{
	reply_t *reply = context;

	reply->calls++;
	reply->code = result->code;
	reply->revision = result->revision;
}

static gn_config_doc_t *read_doc(bench_t *bench, uint64_t *key_revision)
{
	gn_config_doc_t *doc = NULL;
	kv_answer_t answer;

	*key_revision = 0;
	kv_answer_init(&answer);
	kv_state_get(bench->state, GN_STORE_KEY, 0, &answer);
	if (answer.items->len) {
		const kv_item_t *item = answer.items->pdata[0];
		gn_str_t value;

		value.data = g_bytes_get_data(item->value, &value.len);
		*key_revision = item->revision;
		g_assert_cmpint(gn_config_doc_decode(NULL, value, &doc), ==,
				GN_OK);
	}
	kv_answer_clear(&answer);
	return doc ? doc : gn_config_doc_create(NULL);
}

/* Writes a change as another process would. */
static void write_rival(bench_t *bench, gn_config_part_t part)
{
	g_autofree char *id =
		g_strdup_printf("rival-%u", ++bench->rival_writes);
	uint64_t key_revision;
	gn_config_doc_t *doc = read_doc(bench, &key_revision);
	gn_config_doc_t *next = gn_config_doc_change(
		doc, doc, part, GN_STR("theirs"), gn_str_from(id));
	char *value = gn_config_doc_encode(next);
	gn_kv_put_t put = { GN_STR(GN_STORE_KEY), gn_str_from(value),
			    gn_str_from(id), key_revision, 0 };
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_put(bench->state, 0, &put, &answer);
	g_assert_cmpint(answer.code, ==, GN_OK);
	kv_answer_clear(&answer);
	free(value);
	talloc_free(doc);
}

static gn_code_t check_doc(void *context, const gn_config_doc_t *doc,
			   gn_error_t *error)
{
	bench_t *bench = context;
	rival_t rival = bench->rival;

	if (gn_str_equal(doc->parts[GN_CONFIG_INVENTORY].text,
			 GN_STR(BAD_TEXT)))
		return gn_error_set(error, GN_ERR_INVALID, "check", NULL,
				    "line 1: bad");
	bench->rival = RIVAL_NONE;
	if (rival == RIVAL_INVENTORY)
		write_rival(bench, GN_CONFIG_INVENTORY);
	for (int i = 0; i < (rival == RIVAL_MANY ? 100 : 1); i++)
		if (rival == RIVAL_RULES || rival == RIVAL_MANY)
			write_rival(bench, GN_CONFIG_RULES);
	return GN_OK;
}

static void count_adopted(void *context, const gn_config_doc_t *doc)
{
	bench_t *bench = context;

	(void)doc;
	bench->adopted++;
}

static void bench_open(bench_t *bench)
{
	gn_store_options_t options = { 0 };

	memset(bench, 0, sizeof(*bench));
	gn_clock_init_paused(&bench->clock, GN_US_PER_S);
	bench->rand = g_rand_new_with_seed(1);
	bench->state = kv_state_create();
	bench->fake = fake_kv_create(bench->state, &bench->clock, 1);
	fake_kv_faults(bench->fake)->timeout_us = 200 * GN_US_PER_MS;
	options.kv = fake_kv_client(bench->fake);
	options.clock = &bench->clock;
	options.rand = bench->rand;
	options.timeout_ms = TIMEOUT_MS;
	options.check = check_doc;
	options.on_adopt = count_adopted;
	options.context = bench;
	bench->store = gn_store_create(NULL, &options);
	g_assert_nonnull(bench->store);
	write_rival(bench, GN_CONFIG_INVENTORY);
}

static void bench_close(bench_t *bench)
{
	gn_store_free(bench->store);
	fake_kv_free(bench->fake);
	kv_state_free(bench->state);
	g_rand_free(bench->rand);
}

static void bench_run(bench_t *bench, uint32_t ms)
{
	for (uint32_t i = 0; i < ms * GN_US_PER_MS / STEP_US; i++) {
		gn_clock_advance(&bench->clock, STEP_US);
		gn_store_tick(bench->store);
		fake_kv_run(bench->fake);
	}
}

static uint64_t stored_revision(bench_t *bench)
{
	uint64_t key_revision;
	gn_config_doc_t *doc = read_doc(bench, &key_revision);
	uint64_t revision = doc->revision;

	talloc_free(doc);
	return revision;
}

static void test_change(const void *data)
{
	const store_case_t *c = data;
	reply_t reply = { 0 };
	bench_t bench;

	bench_open(&bench);
	bench.rival = c->rival;
	fake_kv_faults(bench.fake)->lose_answer = c->lose_answer;
	fake_kv_faults(bench.fake)->down = c->down;
	gn_store_change(bench.store, &c->change, take_result, &reply);
	g_assert_cmpuint(reply.calls, ==, 0);
	bench_run(&bench, TIMEOUT_MS + 1000);
	g_assert_cmpuint(reply.calls, ==, 1);
	g_assert_cmpint(reply.code, ==, c->code);
	g_assert_cmpuint(reply.revision, ==, c->revision);
	g_assert_cmpuint(stored_revision(&bench), ==, c->stored);
	bench_close(&bench);
}

/* The answer is lost, the service stays away, the operator asks later. */
static void test_unknown_then_ask(void)
{
	gn_store_change_t change = INVENTORY("new", 0);
	reply_t change_reply = { 0 };
	reply_t known = { 0 };
	reply_t other = { 0 };
	bench_t bench;

	bench_open(&bench);
	gn_store_change(bench.store, &change, take_result, &change_reply);
	gn_store_tick(bench.store);
	while (stored_revision(&bench) == 1)
		bench_run(&bench, 10);
	fake_kv_faults(bench.fake)->frozen = true;
	bench_run(&bench, TIMEOUT_MS);
	fake_kv_faults(bench.fake)->frozen = false;
	gn_store_tick(bench.store);
	g_assert_cmpint(change_reply.code, ==, GN_ERR_UNKNOWN);
	gn_store_ask(bench.store, change.id, take_result, &known);
	gn_store_ask(bench.store, GN_STR("never"), take_result, &other);
	bench_run(&bench, 100);
	g_assert_cmpint(known.code, ==, GN_OK);
	g_assert_cmpuint(known.revision, ==, 2);
	g_assert_cmpint(other.code, ==, GN_ERR_NOT_FOUND);
	g_assert_cmpuint(other.revision, ==, 2);
	bench_close(&bench);
}

static void test_document_too_long(void)
{
	gn_store_change_t change = INVENTORY("", 0);
	char *text = g_strnfill(GN_KV_VALUE_MAX, 'x');
	reply_t reply = { 0 };
	bench_t bench;

	bench_open(&bench);
	change.text = gn_str_from(text);
	gn_store_change(bench.store, &change, take_result, &reply);
	bench_run(&bench, 100);
	g_assert_cmpint(reply.code, ==, GN_ERR_RANGE);
	g_assert_cmpuint(stored_revision(&bench), ==, 1);
	bench_close(&bench);
	g_free(text);
}

static void test_queue_full(void)
{
	gn_store_change_t change = INVENTORY("new", 0);
	reply_t replies[GN_STORE_QUEUE_MAX + 1] = { 0 };
	bench_t bench;

	bench_open(&bench);
	for (int i = 0; i <= GN_STORE_QUEUE_MAX; i++) {
		g_autofree char *id = g_strdup_printf("id-%d", i);

		change.id = gn_str_from(id);
		gn_store_change(bench.store, &change, take_result, &replies[i]);
	}
	bench_run(&bench, TIMEOUT_MS);
	for (int i = 0; i < GN_STORE_QUEUE_MAX; i++)
		g_assert_cmpint(replies[i].code, ==, GN_OK);
	g_assert_cmpint(replies[GN_STORE_QUEUE_MAX].code, ==, GN_ERR_CAPACITY);
	bench_close(&bench);
}

typedef struct offer_case_s {
	const char *name;
	uint64_t revision; /* of the offer; the present one is 5 */
	const char *inventory;
	unsigned times; /* offered, one after the other */
	gn_code_t code; /* of the last one */
	uint64_t in_use; /* afterwards */
	unsigned adopted; /* how often it was put in use */
} offer_case_t;

static const offer_case_t offer_cases[] = {
	{ "newer", 7, "new", 1, GN_OK, 7, 1 },
	{ "older", 4, "new", 1, GN_ERR_STALE, 5, 0 },
	{ "equal", 5, "new", 1, GN_ERR_STALE, 5, 0 },
	{ "none", 0, "", 1, GN_ERR_STALE, 5, 0 },
	{ "invalid", 7, BAD_TEXT, 1, GN_ERR_INVALID, 5, 0 },
	{ "duplicated", 7, "new", 2, GN_ERR_STALE, 7, 1 },
	{ "invalid-twice", 7, BAD_TEXT, 2, GN_ERR_INVALID, 5, 0 },
};

static gn_config_doc_t *make_offer(uint64_t revision, const char *inventory)
{
	gn_config_doc_t *doc = gn_config_doc_create(NULL);

	doc->revision = revision;
	doc->parts[GN_CONFIG_INVENTORY].text = gn_str_from(inventory);
	return doc;
}

static gn_code_t offer(bench_t *bench, uint64_t revision, const char *inventory)
{
	gn_config_doc_t *doc = make_offer(revision, inventory);
	gn_error_t error = { 0 };
	gn_code_t code = gn_store_offer(bench->store, doc, &error);

	g_assert_cmpint(error.code, ==, code);
	talloc_free(doc);
	return code;
}

/* A process that is cut off from the service takes a peer's document. */
static void test_offer(const void *data)
{
	const offer_case_t *c = data;
	gn_code_t code = GN_OK;
	bench_t bench;

	bench_open(&bench);
	fake_kv_faults(bench.fake)->down = true;
	g_assert_cmpint(offer(&bench, 5, "old"), ==, GN_OK);
	bench.adopted = 0;
	for (unsigned i = 0; i < c->times; i++)
		code = offer(&bench, c->revision, c->inventory);
	g_assert_cmpint(code, ==, c->code);
	/* What the service has, revision 1, doesn't take it back. */
	fake_kv_faults(bench.fake)->down = false;
	bench_run(&bench, TIMEOUT_MS);
	g_assert_cmpuint(gn_store_current(bench.store)->revision, ==,
			 c->in_use);
	g_assert_cmpuint(bench.adopted, ==, c->adopted);
	bench_close(&bench);
}

typedef struct decode_case_s {
	const char *name;
	const char *text;
	gn_code_t code;
} decode_case_t;

#define PARTS                                           \
	"\"inventory\":{\"text\":\"\",\"revision\":0}," \
	"\"rules\":{\"text\":\"\",\"revision\":0},"

static const decode_case_t decode_cases[] = {
	{ "whole", "{\"revision\":1," PARTS "\"changes\":[]}", GN_OK },
	{ "empty", "", GN_ERR_INVALID },
	{ "truncated", "{\"revision\":1," PARTS, GN_ERR_INVALID },
	{ "array", "[]", GN_ERR_INVALID },
	{ "no-revision", "{" PARTS "\"changes\":[]}", GN_ERR_INVALID },
	{ "negative", "{\"revision\":-1," PARTS "\"changes\":[]}",
	  GN_ERR_INVALID },
	{ "no-parts", "{\"revision\":1,\"changes\":[]}", GN_ERR_INVALID },
	{ "future-change",
	  "{\"revision\":1," PARTS
	  "\"changes\":[{\"id\":\"a\",\"revision\":2}]}",
	  GN_ERR_INVALID },
	{ "empty-id",
	  "{\"revision\":1," PARTS
	  "\"changes\":[{\"id\":\"\",\"revision\":1}]}",
	  GN_ERR_INVALID },
};

static void test_decode(const void *data)
{
	const decode_case_t *c = data;
	gn_config_doc_t *doc = NULL;

	g_assert_cmpint(gn_config_doc_decode(NULL, gn_str_from(c->text), &doc),
			==, c->code);
	talloc_free(doc);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
		g_autofree char *path = g_strdup_printf("/store/change/%s",
							store_cases[i].name);

		g_test_add_data_func(path, &store_cases[i], test_change);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(offer_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/store/offer/%s", offer_cases[i].name);

		g_test_add_data_func(path, &offer_cases[i], test_offer);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(decode_cases); i++) {
		g_autofree char *path = g_strdup_printf("/store/decode/%s",
							decode_cases[i].name);

		g_test_add_data_func(path, &decode_cases[i], test_decode);
	}
	g_test_add_func("/store/unknown-then-ask", test_unknown_then_ask);
	g_test_add_func("/store/document-too-long", test_document_too_long);
	g_test_add_func("/store/queue-full", test_queue_full);
	return g_test_run();
}
