#include "platform/kv_http_internal.h"

static gn_kv_call_t start_keyed(gn_kv_t *kv, gn_kv_kind_t kind, gn_str_t key,
				gn_kv_done_t done, void *context)
{
	gn_kv_request_t request = { .kind = kind, .put = { .key = key } };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_get(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
			     void *context)
{
	return start_keyed(kv, GN_KV_GET, key, done, context);
}

static gn_kv_call_t http_list(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			      void *context)
{
	return start_keyed(kv, GN_KV_LIST, prefix, done, context);
}

static gn_kv_call_t http_put(gn_kv_t *kv, const gn_kv_put_t *put,
			     gn_kv_done_t done, void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_PUT, .put = *put };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_remove(gn_kv_t *kv, gn_str_t key, uint64_t expected,
				gn_kv_done_t done, void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_REMOVE,
				    .put = { .key = key,
					     .expected = expected } };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_grant(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			       void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_GRANT, .limit_ms = ttl_ms };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t start_lease(gn_kv_t *kv, gn_kv_kind_t kind, uint64_t lease,
				gn_kv_done_t done, void *context)
{
	gn_kv_request_t request = { .kind = kind, .put = { .lease = lease } };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_renew(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			       void *context)
{
	return start_lease(kv, GN_KV_RENEW, lease, done, context);
}

static gn_kv_call_t http_revoke(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
				void *context)
{
	return start_lease(kv, GN_KV_REVOKE, lease, done, context);
}

static gn_kv_call_t http_watch(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
			       uint32_t wait_ms, gn_kv_done_t done,
			       void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_WATCH,
				    .put = { .key = prefix },
				    .from = from,
				    .limit_ms = wait_ms };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_txn(gn_kv_t *kv, const gn_kv_txn_t *txn,
			     gn_kv_done_t done, void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_TXN, .txn = txn };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static gn_kv_call_t http_list_after(gn_kv_t *kv, gn_str_t prefix,
				    gn_str_t after, gn_kv_done_t done,
				    void *context)
{
	gn_kv_request_t request = { .kind = GN_KV_LIST,
				    .put = { .key = prefix },
				    .after = after };

	return gn_kv_http_start((gn_kv_http_t *)kv, &request, done, context);
}

static void http_cancel(gn_kv_t *kv, gn_kv_call_t call)
{
	gn_kv_http_cancel((gn_kv_http_t *)kv, call);
}

const gn_kv_ops_t gn_kv_http_ops = {
	.get = http_get,
	.list = http_list,
	.put = http_put,
	.remove = http_remove,
	.grant = http_grant,
	.renew = http_renew,
	.revoke = http_revoke,
	.watch = http_watch,
	.txn = http_txn,
	.list_after = http_list_after,
	.cancel = http_cancel,
};
