#include "platform/kv_http_internal.h"

static const char *const call_counter_names[GN_KV_KIND_COUNT] = {
	[GN_KV_GET] = "platform.calls.get",
	[GN_KV_LIST] = "platform.calls.list",
	[GN_KV_WATCH] = "platform.calls.watch",
	[GN_KV_PUT] = "platform.calls.put",
	[GN_KV_REMOVE] = "platform.calls.delete",
	[GN_KV_GRANT] = "platform.calls.grant",
	[GN_KV_RENEW] = "platform.calls.renew",
	[GN_KV_REVOKE] = "platform.calls.revoke",
	[GN_KV_TXN] = "platform.calls.txn",
};

bool gn_kv_http_counters_get(gn_kv_http_counters_t *counters,
			     gn_counters_t *set)
{
	bool complete = true;

	for (int i = 0; i < GN_KV_KIND_COUNT; i++) {
		counters->calls[i] =
			gn_counters_get(set, call_counter_names[i]);
		complete &= counters->calls[i] != NULL;
	}
	counters->waiting_watches =
		gn_counters_get(set, "platform.watches.waiting");
	counters->rate_refused = gn_counters_get(set, "platform.rate_refused");
	counters->unavailable = gn_counters_get(set, "platform.unavailable");
	counters->unknown = gn_counters_get(set, "platform.unknown");
	counters->stale = gn_counters_get(set, "platform.stale");
	counters->conflict = gn_counters_get(set, "platform.conflict");
	counters->entries_refused =
		gn_counters_get(set, "platform.entries_refused");
	return complete && counters->waiting_watches &&
	       counters->rate_refused && counters->unavailable &&
	       counters->unknown && counters->stale && counters->conflict &&
	       counters->entries_refused;
}

void gn_kv_http_count_call(const gn_kv_http_counters_t *counters,
			   gn_kv_kind_t kind)
{
	gn_counter_inc(counters->calls[kind]);
}

void gn_kv_http_count_result(const gn_kv_http_counters_t *counters,
			     gn_code_t code)
{
	switch (code) {
	case GN_ERR_RATE:
		gn_counter_inc(counters->rate_refused);
		break;
	case GN_ERR_UNAVAILABLE:
		gn_counter_inc(counters->unavailable);
		break;
	case GN_ERR_UNKNOWN:
		gn_counter_inc(counters->unknown);
		break;
	case GN_ERR_STALE:
		gn_counter_inc(counters->stale);
		break;
	case GN_ERR_CONFLICT:
		gn_counter_inc(counters->conflict);
		break;
	default:
		break;
	}
}

void gn_kv_http_count_watch(const gn_kv_http_counters_t *counters, bool begins)
{
	uint64_t waiting = gn_counter_read(counters->waiting_watches);

	gn_counter_set(counters->waiting_watches,
		       begins ? waiting + 1 : waiting - 1);
}
