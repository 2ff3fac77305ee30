/**
 * @file fake_kv_table.c
 * @brief Function table of the fake; each function starts a call.
 */
#include "common/str.h"
#include "support/fake_kv_internal.h"

static gn_kv_call_t fake_get(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
			     void *context)
{
	return fake_kv_start((fake_kv_t *)kv, KIND_GET, key, done, context)->id;
}

static gn_kv_call_t fake_list(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			      void *context)
{
	return fake_kv_start((fake_kv_t *)kv, KIND_LIST, prefix, done, context)
		->id;
}

static gn_kv_call_t fake_watch(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
			       uint32_t wait_ms, gn_kv_done_t done,
			       void *context)
{
	fake_call_t *call = fake_kv_start((fake_kv_t *)kv, KIND_WATCH, prefix,
					  done, context);

	call->revision = from;
	call->limit_ms = wait_ms;
	call->deadline_us += (uint64_t)wait_ms * GN_US_PER_MS;
	return call->id;
}

static gn_kv_call_t fake_put(gn_kv_t *kv, const gn_kv_put_t *put,
			     gn_kv_done_t done, void *context)
{
	fake_call_t *call = fake_kv_start((fake_kv_t *)kv, KIND_PUT, put->key,
					  done, context);

	call->value = g_bytes_new(put->value.data, put->value.len);
	call->change = g_strndup(put->change_id.data ? put->change_id.data : "",
				 put->change_id.len);
	call->revision = put->expected;
	call->lease = put->lease;
	return call->id;
}

static gn_kv_call_t fake_remove(gn_kv_t *kv, gn_str_t key, uint64_t expected,
				gn_kv_done_t done, void *context)
{
	fake_call_t *call =
		fake_kv_start((fake_kv_t *)kv, KIND_REMOVE, key, done, context);

	call->revision = expected;
	return call->id;
}

static gn_str_t copy_text(fake_call_t *call, gn_str_t text)
{
	gn_str_t copy = { g_memdup2(text.data, text.len), text.len };

	g_ptr_array_add(call->owned, (gpointer)copy.data);
	return copy;
}

static void copy_txn(fake_call_t *call, const gn_kv_txn_t *txn)
{
	gn_kv_expect_t *expects =
		g_memdup2(txn->expects, txn->expect_count * sizeof(*expects));
	gn_kv_put_t *puts =
		g_memdup2(txn->puts, txn->put_count * sizeof(*puts));
	gn_str_t *removes =
		g_memdup2(txn->removes, txn->remove_count * sizeof(*removes));

	call->owned = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(call->owned, expects);
	g_ptr_array_add(call->owned, puts);
	g_ptr_array_add(call->owned, removes);
	for (size_t i = 0; i < txn->expect_count; i++)
		expects[i].key = copy_text(call, expects[i].key);
	for (size_t i = 0; i < txn->put_count; i++) {
		puts[i].key = copy_text(call, puts[i].key);
		puts[i].value = copy_text(call, puts[i].value);
	}
	for (size_t i = 0; i < txn->remove_count; i++)
		removes[i] = copy_text(call, removes[i]);
	call->txn = *txn;
	call->txn.expects = expects;
	call->txn.puts = puts;
	call->txn.removes = removes;
}

static gn_kv_call_t fake_txn(gn_kv_t *kv, const gn_kv_txn_t *txn,
			     gn_kv_done_t done, void *context)
{
	fake_call_t *call = fake_kv_start((fake_kv_t *)kv, KIND_TXN, GN_STR(""),
					  done, context);

	copy_txn(call, txn);
	return call->id;
}

/* A page is always the complete list, so a second one is never requested. */
static gn_kv_call_t fake_list_after(gn_kv_t *kv, gn_str_t prefix,
				    gn_str_t after, gn_kv_done_t done,
				    void *context)
{
	g_assert_cmpuint(after.len, ==, 0);
	return fake_list(kv, prefix, done, context);
}

static gn_kv_call_t fake_grant(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			       void *context)
{
	fake_call_t *call = fake_kv_start((fake_kv_t *)kv, KIND_GRANT,
					  GN_STR(""), done, context);

	call->limit_ms = ttl_ms;
	return call->id;
}

static gn_kv_call_t start_lease_call(gn_kv_t *kv, fake_kind_t kind,
				     uint64_t lease, gn_kv_done_t done,
				     void *context)
{
	fake_call_t *call =
		fake_kv_start((fake_kv_t *)kv, kind, GN_STR(""), done, context);

	call->lease = lease;
	return call->id;
}

static gn_kv_call_t fake_renew(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			       void *context)
{
	return start_lease_call(kv, KIND_RENEW, lease, done, context);
}

static gn_kv_call_t fake_revoke(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
				void *context)
{
	return start_lease_call(kv, KIND_REVOKE, lease, done, context);
}

static void fake_cancel(gn_kv_t *kv, gn_kv_call_t id)
{
	fake_kv_t *fake = (fake_kv_t *)kv;

	for (guint i = 0; i < fake->calls->len; i++) {
		fake_call_t *call = g_ptr_array_index(fake->calls, i);

		if (call->id == id)
			call->done = NULL;
	}
}

const gn_kv_ops_t fake_kv_ops = {
	.txn = fake_txn,
	.list_after = fake_list_after,
	.get = fake_get,
	.list = fake_list,
	.put = fake_put,
	.remove = fake_remove,
	.grant = fake_grant,
	.renew = fake_renew,
	.revoke = fake_revoke,
	.watch = fake_watch,
	.cancel = fake_cancel,
};
