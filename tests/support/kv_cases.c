#include "support/kv_cases.h"

#include <string.h>

#include "common/str.h"

/** Time to live of the leases, milliseconds. */
#define TTL_MS 60000
/** Longest wait of a watch, milliseconds. */
#define WAIT_MS 100
#define STEPS_MAX 8

typedef enum op_e {
	OP_END = 0,
	OP_GET,
	OP_LIST,
	OP_WATCH,
	OP_PUT,
	OP_REMOVE,
	OP_GRANT,
	OP_RENEW,
	OP_REVOKE,
	OP_EXPIRE_LEASE, /* Makes the granted lease expire. */
	OP_WATCH_EXPIRE_LEASE, /* Makes it expire after the watch began. */
} op_t;

typedef struct step_s {
	op_t op;
	const char *key;
	const char *value; /* Value to write, or expected in the answer. */
	/* Expected revision, revision to watch from, or time to live. */
	uint64_t number;
	bool leased; /* The put is bound to the granted lease. */
	gn_code_t code;
	size_t count;
	uint64_t revision; /* Expected in the answer; 0: not checked. */
} step_t;

typedef struct kv_case_s {
	const char *name;
	step_t steps[STEPS_MAX];
} kv_case_t;

#define PUT(key, value, expected, code, revision)                      \
	{                                                              \
		OP_PUT, key, value, expected, false, code, 0, revision \
	}
#define GET(key, value)                                   \
	{                                                 \
		OP_GET, key, value, 0, false, GN_OK, 1, 0 \
	}
#define ABSENT(key)                                                 \
	{                                                           \
		OP_GET, key, NULL, 0, false, GN_ERR_NOT_FOUND, 0, 0 \
	}

static const kv_case_t kv_cases[] = {
	{ "absent", { ABSENT("a") } },
	{ "create", { PUT("a", "1", 0, GN_OK, 1), GET("a", "1") } },
	{ "create-twice",
	  { PUT("a", "1", 0, GN_OK, 1),
	    { OP_PUT, "a", "1", 0, false, GN_ERR_CONFLICT, 1, 1 } } },
	{ "swap",
	  { PUT("a", "1", 0, GN_OK, 1),
	    PUT("a", "2", 1, GN_OK, 2),
	    { OP_PUT, "a", "2", 1, false, GN_ERR_CONFLICT, 1, 2 },
	    GET("a", "2") } },
	{ "swap-absent",
	  { { OP_PUT, "a", "1", 7, false, GN_ERR_CONFLICT, 0, 0 } } },
	{ "remove",
	  { PUT("a", "1", 0, GN_OK, 1),
	    { OP_REMOVE, "a", "1", 2, false, GN_ERR_CONFLICT, 1, 1 },
	    { OP_REMOVE, "a", NULL, 1, false, GN_OK, 0, 2 },
	    ABSENT("a"),
	    PUT("a", "3", 0, GN_OK, 3) } },
	{ "list",
	  { PUT("p/b", "2", 0, GN_OK, 1),
	    PUT("p/a", "1", 0, GN_OK, 2),
	    PUT("q", "3", 0, GN_OK, 3),
	    { OP_LIST, "p/", "1", 0, false, GN_OK, 2, 3 },
	    { OP_LIST, "r/", NULL, 0, false, GN_OK, 0, 3 } } },
	{ "bad-key", { PUT("a b", "1", 0, GN_ERR_INVALID, 0) } },
	{ "empty-key", { PUT("", "1", 0, GN_ERR_INVALID, 0) } },
	{ "empty-value", { PUT("a", "", 0, GN_OK, 1), GET("a", "") } },
	{ "lease",
	  { { OP_GRANT, NULL, NULL, TTL_MS, false, GN_OK, 0, 0 },
	    { OP_PUT, "a", "1", 0, true, GN_OK, 0, 1 },
	    { OP_RENEW, NULL, NULL, 0, true, GN_OK, 0, 0 },
	    GET("a", "1"),
	    { OP_REVOKE, NULL, NULL, 0, true, GN_OK, 0, 2 },
	    ABSENT("a"),
	    { OP_RENEW, NULL, NULL, 0, true, GN_ERR_NOT_FOUND, 0, 0 } } },
	{ "lease-lapse",
	  { { OP_GRANT, NULL, NULL, TTL_MS, false, GN_OK, 0, 0 },
	    { OP_PUT, "a", "1", 0, true, GN_OK, 0, 1 },
	    { OP_EXPIRE_LEASE, NULL, NULL, 0, false, GN_OK, 0, 0 },
	    ABSENT("a"),
	    { OP_PUT, "a", "1", 0, true, GN_ERR_NOT_FOUND, 0, 0 } } },
	{ "lease-range",
	  { { OP_GRANT, NULL, NULL, 1, false, GN_ERR_RANGE, 0, 0 } } },
	{ "watch-past",
	  { PUT("p/a", "1", 0, GN_OK, 1),
	    PUT("q", "2", 0, GN_OK, 2),
	    { OP_WATCH, "p/", "1", 0, false, GN_OK, 1, 2 },
	    { OP_WATCH, "p/", NULL, 1, false, GN_OK, 0, 2 } } },
	{ "watch-removed",
	  { PUT("p/a", "1", 0, GN_OK, 1),
	    { OP_REMOVE, "p/a", NULL, 1, false, GN_OK, 0, 2 },
	    { OP_WATCH, "p/", "", 1, false, GN_OK, 1, 2 } } },
	{ "watch-lapse",
	  { { OP_GRANT, NULL, NULL, TTL_MS, false, GN_OK, 0, 0 },
	    { OP_PUT, "p/a", "1", 0, true, GN_OK, 0, 1 },
	    { OP_WATCH_EXPIRE_LEASE, "p/", "", 1, false, GN_OK, 1, 2 } } },
};

/* ======   Results   ====== */

void kv_reply_clear(kv_reply_t *reply)
{
	g_free(reply->key);
	g_free(reply->value);
	g_free(reply->change);
	memset(reply, 0, sizeof(*reply));
}

static char *copy_bytes(gn_str_t bytes)
{
	char *copy = g_malloc0(bytes.len + 1);

	if (bytes.len)
		memcpy(copy, bytes.data, bytes.len);
	return copy;
}

void kv_reply_store(void *context, const gn_kv_result_t *result)
{
	kv_reply_t *reply = context;

	reply->calls++;
	reply->code = result->code;
	reply->revision = result->revision;
	reply->lease = result->lease;
	reply->count = result->count;
	if (!result->count)
		return;
	reply->key = copy_bytes(result->entries->key);
	reply->value = copy_bytes(result->entries->value);
	reply->value_len = result->entries->value.len;
	reply->change = copy_bytes(result->entries->change_id);
	reply->key_revision = result->entries->revision;
	reply->deleted = result->entries->deleted;
}

/* ======   Cases   ====== */

static void start_put(kv_impl_t *impl, const step_t *step, uint64_t lease,
		      kv_reply_t *reply)
{
	gn_kv_put_t put = { gn_str_from(step->key), gn_str_from(step->value),
			    GN_STR("change-1"), step->number,
			    step->leased ? lease : 0 };

	gn_kv_put(impl->kv, &put, kv_reply_store, reply);
}

static void start_step(kv_impl_t *impl, const step_t *step, uint64_t lease,
		       kv_reply_t *reply)
{
	gn_str_t key = gn_str_from(step->key);
	gn_kv_t *kv = impl->kv;

	switch (step->op) {
	case OP_GET:
		gn_kv_get(kv, key, kv_reply_store, reply);
		break;
	case OP_LIST:
		gn_kv_list(kv, key, kv_reply_store, reply);
		break;
	case OP_WATCH:
	case OP_WATCH_EXPIRE_LEASE:
		gn_kv_watch(kv, key, step->number, WAIT_MS, kv_reply_store,
			    reply);
		break;
	case OP_PUT:
		start_put(impl, step, lease, reply);
		break;
	case OP_REMOVE:
		gn_kv_remove(kv, key, step->number, kv_reply_store, reply);
		break;
	case OP_GRANT:
		gn_kv_grant(kv, (uint32_t)step->number, kv_reply_store, reply);
		break;
	case OP_RENEW:
		gn_kv_renew(kv, lease, kv_reply_store, reply);
		break;
	case OP_REVOKE:
		gn_kv_revoke(kv, lease, kv_reply_store, reply);
		break;
	default:
		g_assert_not_reached();
	}
}

static void check_step(const step_t *step, const kv_reply_t *reply)
{
	g_assert_cmpuint(reply->calls, ==, 1);
	g_assert_cmpint(reply->code, ==, step->code);
	g_assert_cmpuint(reply->count, ==, step->count);
	if (step->count)
		g_assert_cmpstr(reply->value, ==, step->value);
	if (reply->count && !reply->deleted)
		g_assert_cmpstr(reply->change, ==, "change-1");
	if (step->revision && !step->count)
		g_assert_cmpuint(reply->revision, ==, step->revision);
}

void kv_case_run(const void *data, kv_impl_t *impl)
{
	const kv_case_t *c = data;
	uint64_t lease = 0;

	for (const step_t *step = c->steps;
	     step < c->steps + STEPS_MAX && step->op; step++) {
		kv_reply_t reply = { 0 };

		if (step->op == OP_EXPIRE_LEASE) {
			impl->expire_lease(impl->context, lease);
			continue;
		}
		start_step(impl, step, lease, &reply);
		g_assert_cmpuint(reply.calls, ==, 0);
		if (step->op == OP_WATCH_EXPIRE_LEASE)
			impl->expire_lease(impl->context, lease);
		impl->run(impl->context);
		check_step(step, &reply);
		if (step->op == OP_GRANT)
			lease = reply.lease;
		kv_reply_clear(&reply);
	}
}

void kv_cases_add(const char *path, GTestDataFunc test)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kv_cases); i++) {
		g_autofree char *name =
			g_strdup_printf("%s/%s", path, kv_cases[i].name);

		g_test_add_data_func(name, &kv_cases[i], test);
	}
}
