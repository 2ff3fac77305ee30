#include "platform/kv.h"

#include <glib.h>
#include <string.h>

gn_kv_call_t gn_kv_get(gn_kv_t *kv, gn_str_t key, gn_kv_done_t done,
		       void *context)
{
	return kv->ops->get(kv, key, done, context);
}

gn_kv_call_t gn_kv_list(gn_kv_t *kv, gn_str_t prefix, gn_kv_done_t done,
			void *context)
{
	return kv->ops->list(kv, prefix, done, context);
}

gn_kv_call_t gn_kv_watch(gn_kv_t *kv, gn_str_t prefix, uint64_t from,
			 uint32_t wait_ms, gn_kv_done_t done, void *context)
{
	return kv->ops->watch(kv, prefix, from, wait_ms, done, context);
}

gn_kv_call_t gn_kv_put(gn_kv_t *kv, const gn_kv_put_t *put, gn_kv_done_t done,
		       void *context)
{
	return kv->ops->put(kv, put, done, context);
}

gn_kv_call_t gn_kv_remove(gn_kv_t *kv, gn_str_t key, uint64_t expected,
			  gn_kv_done_t done, void *context)
{
	return kv->ops->remove(kv, key, expected, done, context);
}

gn_kv_call_t gn_kv_grant(gn_kv_t *kv, uint32_t ttl_ms, gn_kv_done_t done,
			 void *context)
{
	return kv->ops->grant(kv, ttl_ms, done, context);
}

gn_kv_call_t gn_kv_renew(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			 void *context)
{
	return kv->ops->renew(kv, lease, done, context);
}

gn_kv_call_t gn_kv_revoke(gn_kv_t *kv, uint64_t lease, gn_kv_done_t done,
			  void *context)
{
	return kv->ops->revoke(kv, lease, done, context);
}

gn_kv_call_t gn_kv_txn(gn_kv_t *kv, const gn_kv_txn_t *txn, gn_kv_done_t done,
		       void *context)
{
	return kv->ops->txn(kv, txn, done, context);
}

gn_kv_call_t gn_kv_list_after(gn_kv_t *kv, gn_str_t prefix, gn_str_t after,
			      gn_kv_done_t done, void *context)
{
	return kv->ops->list_after(kv, prefix, after, done, context);
}

void gn_kv_cancel(gn_kv_t *kv, gn_kv_call_t call)
{
	if (call)
		kv->ops->cancel(kv, call);
}

gn_str_t gn_kv_last_key(const gn_kv_result_t *result)
{
	if (result->last_key.len || !result->count)
		return result->last_key;
	return result->entries[result->count - 1].key;
}

bool gn_kv_is_key_text(gn_str_t text, size_t max)
{
	if (text.len > max)
		return false;
	for (size_t i = 0; i < text.len; i++)
		if (!g_ascii_isalnum(text.data[i]) &&
		    (!text.data[i] || !strchr("/_.:-", text.data[i])))
			return false;
	return true;
}

gn_code_t gn_kv_check_put(const gn_kv_put_t *put)
{
	if (!put->key.len || !gn_kv_is_key_text(put->key, GN_KV_KEY_MAX) ||
	    !gn_kv_is_key_text(put->change_id, GN_KV_CHANGE_MAX))
		return GN_ERR_INVALID;
	return put->value.len > GN_KV_VALUE_MAX ? GN_ERR_RANGE : GN_OK;
}
