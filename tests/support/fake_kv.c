#include "support/fake_kv.h"

#include "common/str.h"
#include "support/fake_kv_internal.h"

/** Longest delay of a late request, in timeouts. */
#define LATE_TIMEOUTS 3

static void free_call(gpointer data)
{
	fake_call_t *call = data;

	g_free(call->key);
	g_bytes_unref(call->value);
	g_free(call->change);
	kv_answer_clear(&call->answer);
	if (call->owned)
		g_ptr_array_unref(call->owned);
	g_free(call);
}

static bool is_read(const fake_call_t *call)
{
	return call->kind <= KIND_WATCH;
}

static bool draw_fault(fake_kv_t *fake, double chance, uint64_t *counter)
{
	if (g_rand_double(fake->rand) >= chance)
		return false;
	++*counter;
	return true;
}

static uint64_t draw_delay(fake_kv_t *fake)
{
	uint32_t min = fake->faults.delay_min_us;
	uint32_t max = fake->faults.delay_max_us;

	return min +
	       (uint64_t)((double)(max - min) * g_rand_double(fake->rand));
}

static void draw_arrival(fake_kv_t *fake, fake_call_t *call)
{
	const fake_kv_faults_t *faults = &fake->faults;

	call->arrive_us = call->sent_us + draw_delay(fake);
	if (draw_fault(fake, faults->late, &fake->counts.late))
		call->arrive_us +=
			(uint64_t)(g_rand_double(fake->rand) * LATE_TIMEOUTS *
				   faults->timeout_us);
	if (draw_fault(fake, faults->drop_request, &fake->counts.dropped))
		call->arrive_us = UINT64_MAX;
	call->answer_us = UINT64_MAX;
	call->deadline_us = call->sent_us + faults->timeout_us;
}

fake_call_t *fake_kv_start(fake_kv_t *fake, fake_kind_t kind, gn_str_t key,
			   gn_kv_done_t done, void *context)
{
	fake_call_t *call = g_new0(fake_call_t, 1);

	call->id = ++fake->last_id;
	call->kind = kind;
	call->key = g_strndup(key.data ? key.data : "", key.len);
	call->done = done;
	call->context = context;
	call->sent_us = gn_clock_now_us(fake->clock);
	call->min_revision = fake->newest_revision;
	kv_answer_init(&call->answer);
	g_ptr_array_add(fake->calls, call);
	fake->counts.calls++;
	fake->counts.writes += !is_read(call);
	draw_arrival(fake, call);
	return call;
}

/* ======   Service   ====== */

static void apply_put(fake_kv_t *fake, fake_call_t *call, uint64_t now_us)
{
	gsize size;
	const char *value = g_bytes_get_data(call->value, &size);
	gn_kv_put_t put = { gn_str_from(call->key),
			    { value, size },
			    gn_str_from(call->change),
			    call->revision,
			    call->lease };

	kv_state_put(fake->state, now_us, &put, &call->answer);
}

static void apply(fake_kv_t *fake, fake_call_t *call, uint64_t now_us)
{
	kv_state_t *state = fake->state;
	unsigned back = 0;

	kv_state_expire(state, now_us);
	if (is_read(call) && call->kind != KIND_WATCH &&
	    draw_fault(fake, fake->faults.older_read, &fake->counts.older))
		back = (unsigned)g_rand_int_range(fake->rand, 1,
						  KV_STATE_DEPTH + 1);
	switch (call->kind) {
	case KIND_GET:
		kv_state_get(state, call->key, back, &call->answer);
		break;
	case KIND_LIST:
		kv_state_list(state, call->key, back, &call->answer);
		break;
	case KIND_WATCH:
		kv_state_watch(state, call->key, call->revision, &call->answer);
		break;
	case KIND_PUT:
		apply_put(fake, call, now_us);
		break;
	case KIND_REMOVE:
		kv_state_remove(state, call->key, call->revision,
				&call->answer);
		break;
	case KIND_GRANT:
		kv_state_grant(state, now_us, call->limit_ms, &call->answer);
		break;
	case KIND_RENEW:
		kv_state_renew(state, now_us, call->lease, &call->answer);
		break;
	case KIND_REVOKE:
		kv_state_revoke(state, call->lease, &call->answer);
		break;
	case KIND_TXN:
		kv_state_txn(state, now_us, &call->txn, &call->answer);
		break;
	}
}

static void send_answer(fake_kv_t *fake, fake_call_t *call, uint64_t now_us)
{
	call->applied = true;
	if (fake->faults.cut) {
		fake->counts.cut++;
		return;
	}
	if (draw_fault(fake, fake->faults.lose_answer, &fake->counts.lost))
		return;
	call->answer_us = now_us + draw_delay(fake);
}

static bool is_watch_done(const fake_call_t *call, uint64_t now_us)
{
	return call->answer.code != GN_OK || call->answer.items->len ||
	       now_us >= call->wait_until_us;
}

static void handle_request(fake_kv_t *fake, fake_call_t *call, uint64_t now_us)
{
	if (fake->faults.cut) {
		fake->counts.cut++;
		call->arrive_us = UINT64_MAX;
		return;
	}
	if (fake->faults.down) {
		fake->counts.refused++;
		call->refused = true;
		call->applied = true;
		call->answer_us = now_us + draw_delay(fake);
		return;
	}
	if (call->kind == KIND_WATCH && !call->wait_until_us)
		call->wait_until_us =
			now_us + (uint64_t)call->limit_ms * GN_US_PER_MS;
	g_ptr_array_set_size(call->answer.items, 0);
	apply(fake, call, now_us);
	if (call->kind != KIND_WATCH || is_watch_done(call, now_us))
		send_answer(fake, call, now_us);
}

/* ======   Client   ====== */

static void fill_entry(gn_kv_entry_t *entry, const kv_item_t *item)
{
	gsize size;

	entry->key = gn_str_from(item->key);
	entry->value.data = g_bytes_get_data(item->value, &size);
	entry->value.len = size;
	entry->change_id = gn_str_from(item->change);
	entry->revision = item->revision;
	entry->lease = item->lease;
	entry->deleted = item->deleted;
}

static void deliver(fake_call_t *call, gn_code_t code)
{
	guint count = call->answer.items->len;
	gn_kv_entry_t *entries = g_new0(gn_kv_entry_t, count + 1);
	gn_kv_done_t done = call->done;
	gn_error_t error = { 0 };
	gn_kv_result_t result = { 0 };

	gn_error_set(&error, code, "platform", "fake", "%s",
		     gn_code_name(code));
	result.code = code;
	result.error = &error;
	result.sent_us = call->sent_us;
	if (call->applied && !call->refused && code == call->answer.code) {
		for (guint i = 0; i < count; i++)
			fill_entry(&entries[i],
				   g_ptr_array_index(call->answer.items, i));
		result.revision = call->answer.revision;
		result.entries = entries;
		result.count = count;
		result.lease = call->answer.lease;
	}
	call->done = NULL;
	done(call->context, &result);
	g_free(entries);
}

static void handle_answer(fake_kv_t *fake, fake_call_t *call)
{
	gn_code_t code = call->answer.code;

	call->answer_us = UINT64_MAX;
	if (!call->done)
		return;
	if (call->refused) {
		deliver(call, GN_ERR_UNAVAILABLE);
		return;
	}
	if (is_read(call) && call->answer.revision < call->min_revision)
		code = GN_ERR_STALE;
	if (call->answer.revision > fake->newest_revision)
		fake->newest_revision = call->answer.revision;
	deliver(call, code);
}

static void time_out(fake_call_t *call)
{
	deliver(call, is_read(call) ? GN_ERR_UNAVAILABLE : GN_ERR_UNKNOWN);
}

/* Handles the next event of @p call that is due; false if none is. */
static bool advance_call(fake_kv_t *fake, fake_call_t *call, uint64_t now_us)
{
	if (!call->applied && call->arrive_us <= now_us) {
		uint64_t revision = kv_state_revision(fake->state);

		handle_request(fake, call, now_us);
		return call->applied ||
		       revision != kv_state_revision(fake->state);
	}
	if (fake->faults.frozen)
		return false;
	if (call->answer_us <= now_us) {
		handle_answer(fake, call);
		return true;
	}
	if (call->done && call->deadline_us <= now_us) {
		time_out(call);
		return true;
	}
	return false;
}

static bool is_over(const fake_call_t *call)
{
	uint64_t next_us = call->applied ? call->answer_us : call->arrive_us;

	return !call->done && next_us == UINT64_MAX;
}

void fake_kv_run(fake_kv_t *fake)
{
	uint64_t now_us = gn_clock_now_us(fake->clock);
	bool busy = true;

	/* Callbacks may add calls, so iterate by index until none is due. */
	while (busy) {
		busy = false;
		for (guint i = 0; i < fake->calls->len; i++)
			busy |= advance_call(fake,
					     g_ptr_array_index(fake->calls, i),
					     now_us);
	}
	for (guint i = fake->calls->len; i-- > 0;)
		if (is_over(g_ptr_array_index(fake->calls, i)))
			g_ptr_array_remove_index(fake->calls, i);
}

void fake_kv_crash(fake_kv_t *fake)
{
	for (guint i = 0; i < fake->calls->len; i++) {
		fake_call_t *call = g_ptr_array_index(fake->calls, i);

		call->done = NULL;
	}
	fake->newest_revision = 0;
}

/* ======   Creation and destruction   ====== */

fake_kv_t *fake_kv_create(kv_state_t *state, const gn_clock_t *clock,
			  guint32 seed)
{
	fake_kv_t *fake = g_new0(fake_kv_t, 1);

	fake->kv.ops = &fake_kv_ops;
	fake->state = state;
	fake->clock = clock;
	fake->rand = g_rand_new_with_seed(seed);
	fake->calls = g_ptr_array_new_with_free_func(free_call);
	fake->faults.delay_min_us = GN_US_PER_MS;
	fake->faults.delay_max_us = GN_US_PER_MS;
	fake->faults.timeout_us = 2 * GN_US_PER_S;
	return fake;
}

void fake_kv_free(fake_kv_t *fake)
{
	g_ptr_array_unref(fake->calls);
	g_rand_free(fake->rand);
	g_free(fake);
}

gn_kv_t *fake_kv_client(fake_kv_t *fake)
{
	return &fake->kv;
}

fake_kv_faults_t *fake_kv_faults(fake_kv_t *fake)
{
	return &fake->faults;
}

const fake_kv_counts_t *fake_kv_counts(const fake_kv_t *fake)
{
	return &fake->counts;
}

size_t fake_kv_pending(const fake_kv_t *fake)
{
	size_t pending = 0;

	for (guint i = 0; i < fake->calls->len; i++) {
		fake_call_t *call = g_ptr_array_index(fake->calls, i);

		pending += call->done != NULL;
	}
	return pending;
}
