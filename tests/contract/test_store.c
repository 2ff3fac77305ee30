/* Changes, queries and offers of the configuration in a single process. */
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "config/store.h"
#include "support/fake_kv.h"

#define STEP_US (10 * GN_US_PER_MS)
#define TIMEOUT_MS 5000
/** Inventory text that check_doc() rejects. */
#define BAD_TEXT "bad"

/* A change by another operator between the read and the write. */
typedef enum concurrent_e {
	CONCURRENT_NONE,
	CONCURRENT_INVENTORY,
	CONCURRENT_RULES,
	CONCURRENT_MANY /**< More changes than a document lists. */
} concurrent_t;

typedef struct store_case_s {
	const char *name;
	gn_store_change_t change;
	concurrent_t concurrent;
	double lose_answer;
	bool down;
	gn_code_t code;
	uint64_t revision; /* Reported revision. */
	uint64_t stored; /* Revision in the service afterwards. */
} store_case_t;

#define INVENTORY(text, if_revision)                                          \
	{                                                                     \
		GN_CONFIG_INVENTORY, { text, sizeof(text) - 1 }, { "id", 2 }, \
			if_revision                                           \
	}

/* All cases begin with a document of revision 1. */
static const store_case_t store_cases[] = {
	{ "accepted", INVENTORY("new", 0), CONCURRENT_NONE, 0, false, GN_OK, 2,
	  2 },
	{ "named-revision", INVENTORY("new", 1), CONCURRENT_NONE, 0, false,
	  GN_OK, 2, 2 },
	{ "other-revision", INVENTORY("new", 7), CONCURRENT_NONE, 0, false,
	  GN_ERR_CONFLICT, 1, 1 },
	{ "refused-by-check", INVENTORY(BAD_TEXT, 0), CONCURRENT_NONE, 0, false,
	  GN_ERR_INVALID, 1, 1 },
	{ "race-same-part", INVENTORY("new", 0), CONCURRENT_INVENTORY, 0, false,
	  GN_ERR_CONFLICT, 2, 2 },
	{ "race-other-part", INVENTORY("new", 0), CONCURRENT_RULES, 0, false,
	  GN_OK, 3, 3 },
	{ "race-other-part-named", INVENTORY("new", 1), CONCURRENT_RULES, 0,
	  false, GN_ERR_CONFLICT, 2, 2 },
	{ "race-many", INVENTORY("new", 0), CONCURRENT_MANY, 0, false, GN_OK,
	  102, 102 },
	{ "down", INVENTORY("new", 0), CONCURRENT_NONE, 0, true,
	  GN_ERR_UNAVAILABLE, 0, 1 },
	{ "answers-lost", INVENTORY("new", 0), CONCURRENT_NONE, 0.5, false,
	  GN_OK, 2, 2 },
	{ "no-id",
	  { GN_CONFIG_RULES, { "x", 1 }, { "", 0 }, 0 },
	  CONCURRENT_NONE,
	  0,
	  false,
	  GN_ERR_INVALID,
	  0,
	  1 },
	{ "malformed-id",
	  { GN_CONFIG_RULES, { "x", 1 }, { "a b", 3 }, 0 },
	  CONCURRENT_NONE,
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

typedef struct fixture_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fake;
	gn_store_t *store;
	concurrent_t concurrent;
	unsigned concurrent_writes;
	unsigned adopted; /* Number of adopted documents. */
} fixture_t;

static void record_result(void *context, const gn_store_result_t *result)
{
	reply_t *reply = context;

	reply->calls++;
	reply->code = result->code;
	reply->revision = result->revision;
}

static gn_config_doc_t *read_doc(fixture_t *fixture, uint64_t *key_revision)
{
	gn_config_doc_t *doc = NULL;
	kv_answer_t answer;

	*key_revision = 0;
	kv_answer_init(&answer);
	kv_state_get(fixture->state, GN_STORE_KEY, 0, &answer);
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

/* Writes a change to the service as another process would. */
static void write_concurrent_change(fixture_t *fixture, gn_config_part_t part)
{
	g_autofree char *id =
		g_strdup_printf("rival-%u", ++fixture->concurrent_writes);
	uint64_t key_revision;
	gn_config_doc_t *doc = read_doc(fixture, &key_revision);
	gn_config_doc_t *next = gn_config_doc_change(
		doc, doc, part, GN_STR("theirs"), gn_str_from(id));
	char *value = gn_config_doc_encode(next);
	gn_kv_put_t put = { GN_STR(GN_STORE_KEY), gn_str_from(value),
			    gn_str_from(id), key_revision, 0 };
	kv_answer_t answer;

	kv_answer_init(&answer);
	kv_state_put(fixture->state, 0, &put, &answer);
	g_assert_cmpint(answer.code, ==, GN_OK);
	kv_answer_clear(&answer);
	free(value);
	talloc_free(doc);
}

static gn_code_t check_doc(void *context, const gn_config_doc_t *doc,
			   gn_error_t *error)
{
	fixture_t *fixture = context;
	concurrent_t concurrent = fixture->concurrent;

	if (gn_str_equal(doc->parts[GN_CONFIG_INVENTORY].text,
			 GN_STR(BAD_TEXT)))
		return gn_error_set(error, GN_ERR_INVALID, "check", NULL,
				    "line 1: bad");
	fixture->concurrent = CONCURRENT_NONE;
	if (concurrent == CONCURRENT_INVENTORY)
		write_concurrent_change(fixture, GN_CONFIG_INVENTORY);
	for (int i = 0; i < (concurrent == CONCURRENT_MANY ? 100 : 1); i++)
		if (concurrent == CONCURRENT_RULES ||
		    concurrent == CONCURRENT_MANY)
			write_concurrent_change(fixture, GN_CONFIG_RULES);
	return GN_OK;
}

static void count_adoption(void *context, const gn_config_doc_t *doc)
{
	fixture_t *fixture = context;

	(void)doc;
	fixture->adopted++;
}

static void fixture_open(fixture_t *fixture)
{
	gn_store_options_t options = { 0 };

	memset(fixture, 0, sizeof(*fixture));
	gn_clock_init_paused(&fixture->clock, GN_US_PER_S);
	fixture->rand = g_rand_new_with_seed(1);
	fixture->state = kv_state_create();
	fixture->fake = fake_kv_create(fixture->state, &fixture->clock, 1);
	fake_kv_faults(fixture->fake)->timeout_us = 200 * GN_US_PER_MS;
	options.kv = fake_kv_client(fixture->fake);
	options.clock = &fixture->clock;
	options.rand = fixture->rand;
	options.timeout_ms = TIMEOUT_MS;
	options.check = check_doc;
	options.on_adopt = count_adoption;
	options.context = fixture;
	fixture->store = gn_store_create(NULL, &options);
	g_assert_nonnull(fixture->store);
	write_concurrent_change(fixture, GN_CONFIG_INVENTORY);
}

static void fixture_close(fixture_t *fixture)
{
	gn_store_free(fixture->store);
	fake_kv_free(fixture->fake);
	kv_state_free(fixture->state);
	g_rand_free(fixture->rand);
}

static void fixture_run(fixture_t *fixture, uint32_t ms)
{
	for (uint32_t i = 0; i < ms * GN_US_PER_MS / STEP_US; i++) {
		gn_clock_advance(&fixture->clock, STEP_US);
		gn_store_tick(fixture->store);
		fake_kv_run(fixture->fake);
	}
}

static uint64_t read_stored_revision(fixture_t *fixture)
{
	uint64_t key_revision;
	gn_config_doc_t *doc = read_doc(fixture, &key_revision);
	uint64_t revision = doc->revision;

	talloc_free(doc);
	return revision;
}

static void test_change(const void *data)
{
	const store_case_t *c = data;
	reply_t reply = { 0 };
	fixture_t fixture;

	fixture_open(&fixture);
	fixture.concurrent = c->concurrent;
	fake_kv_faults(fixture.fake)->lose_answer = c->lose_answer;
	fake_kv_faults(fixture.fake)->down = c->down;
	gn_store_change(fixture.store, &c->change, record_result, &reply);
	g_assert_cmpuint(reply.calls, ==, 0);
	fixture_run(&fixture, TIMEOUT_MS + 1000);
	g_assert_cmpuint(reply.calls, ==, 1);
	g_assert_cmpint(reply.code, ==, c->code);
	g_assert_cmpuint(reply.revision, ==, c->revision);
	g_assert_cmpuint(read_stored_revision(&fixture), ==, c->stored);
	fixture_close(&fixture);
}

/*
 * If the response to a write is lost and the service doesn't respond until the
 * timeout, the result is unknown. A later query finds that it took effect.
 */
static void test_query_unknown_change(void)
{
	gn_store_change_t change = INVENTORY("new", 0);
	reply_t change_reply = { 0 };
	reply_t accepted = { 0 };
	reply_t other = { 0 };
	fixture_t fixture;

	fixture_open(&fixture);
	gn_store_change(fixture.store, &change, record_result, &change_reply);
	gn_store_tick(fixture.store);
	while (read_stored_revision(&fixture) == 1)
		fixture_run(&fixture, 10);
	fake_kv_faults(fixture.fake)->frozen = true;
	fixture_run(&fixture, TIMEOUT_MS);
	fake_kv_faults(fixture.fake)->frozen = false;
	gn_store_tick(fixture.store);
	g_assert_cmpint(change_reply.code, ==, GN_ERR_UNKNOWN);
	gn_store_query_change(fixture.store, change.id, record_result,
			      &accepted);
	gn_store_query_change(fixture.store, GN_STR("never"), record_result,
			      &other);
	fixture_run(&fixture, 100);
	g_assert_cmpint(accepted.code, ==, GN_OK);
	g_assert_cmpuint(accepted.revision, ==, 2);
	g_assert_cmpint(other.code, ==, GN_ERR_NOT_FOUND);
	g_assert_cmpuint(other.revision, ==, 2);
	fixture_close(&fixture);
}

static void test_document_too_long(void)
{
	gn_store_change_t change = INVENTORY("", 0);
	char *text = g_strnfill(GN_KV_VALUE_MAX, 'x');
	reply_t reply = { 0 };
	fixture_t fixture;

	fixture_open(&fixture);
	change.text = gn_str_from(text);
	gn_store_change(fixture.store, &change, record_result, &reply);
	fixture_run(&fixture, 100);
	g_assert_cmpint(reply.code, ==, GN_ERR_RANGE);
	g_assert_cmpuint(read_stored_revision(&fixture), ==, 1);
	fixture_close(&fixture);
	g_free(text);
}

static void test_queue_full(void)
{
	gn_store_change_t change = INVENTORY("new", 0);
	reply_t replies[GN_STORE_QUEUE_MAX + 1] = { 0 };
	fixture_t fixture;

	fixture_open(&fixture);
	for (int i = 0; i <= GN_STORE_QUEUE_MAX; i++) {
		g_autofree char *id = g_strdup_printf("id-%d", i);

		change.id = gn_str_from(id);
		gn_store_change(fixture.store, &change, record_result,
				&replies[i]);
	}
	fixture_run(&fixture, TIMEOUT_MS);
	for (int i = 0; i < GN_STORE_QUEUE_MAX; i++)
		g_assert_cmpint(replies[i].code, ==, GN_OK);
	g_assert_cmpint(replies[GN_STORE_QUEUE_MAX].code, ==, GN_ERR_CAPACITY);
	fixture_close(&fixture);
}

typedef struct offer_case_s {
	const char *name;
	uint64_t revision; /* Offered revision; the current one is 5. */
	const char *inventory;
	unsigned times; /* Number of successive offers. */
	gn_code_t code; /* Result of the last offer. */
	uint64_t current; /* Current revision afterwards. */
	unsigned adopted; /* Number of adoptions. */
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

static gn_code_t offer(fixture_t *fixture, uint64_t revision,
		       const char *inventory)
{
	gn_config_doc_t *doc = make_offer(revision, inventory);
	gn_error_t error = { 0 };
	gn_code_t code = gn_store_offer(fixture->store, doc, &error);

	g_assert_cmpint(error.code, ==, code);
	talloc_free(doc);
	return code;
}

/*
 * A process without a connection to the service adopts a newer document of a
 * peer. An older document in the service must not replace it afterwards.
 */
static void test_offer(const void *data)
{
	const offer_case_t *c = data;
	gn_code_t code = GN_OK;
	fixture_t fixture;

	fixture_open(&fixture);
	fake_kv_faults(fixture.fake)->down = true;
	g_assert_cmpint(offer(&fixture, 5, "old"), ==, GN_OK);
	fixture.adopted = 0;
	for (unsigned i = 0; i < c->times; i++)
		code = offer(&fixture, c->revision, c->inventory);
	g_assert_cmpint(code, ==, c->code);
	/* The service still has revision 1. */
	fake_kv_faults(fixture.fake)->down = false;
	fixture_run(&fixture, TIMEOUT_MS);
	g_assert_cmpuint(gn_store_current(fixture.store)->revision, ==,
			 c->current);
	g_assert_cmpuint(fixture.adopted, ==, c->adopted);
	fixture_close(&fixture);
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
	g_test_add_func("/store/unknown-then-ask", test_query_unknown_change);
	g_test_add_func("/store/document-too-long", test_document_too_long);
	g_test_add_func("/store/queue-full", test_queue_full);
	return g_test_run();
}
