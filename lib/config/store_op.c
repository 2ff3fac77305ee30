/**
 * @file store_op.c
 * @brief One change on its way to be accepted, as a state machine.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "config/store_internal.h"
#include "platform/settle.h"

#define STEP "configuration"

static void handle_read(void *context, const gn_kv_result_t *result);
static void handle_write(void *context, const gn_kv_result_t *result);
static void handle_read_back(void *context, const gn_kv_result_t *result);

static uint64_t now_us(const gn_store_op_t *op)
{
	return gn_clock_now_us(op->store->options.clock);
}

static bool is_mutant(const gn_store_op_t *op, gn_store_mutant_t mutant)
{
	return op->store->mutant == mutant;
}

/* ======   Life   ====== */

static int free_op(gn_store_op_t *op)
{
	gn_kv_cancel(op->store->options.kv, op->call);
	free(op->value);
	return 0;
}

static bool copy_str(gn_store_op_t *op, gn_str_t *str)
{
	str->data = talloc_strndup(op, str->len ? str->data : "", str->len);
	return str->data != NULL;
}

gn_store_op_t *gn_store_op_create(gn_store_t *store,
				  const gn_store_change_t *change,
				  gn_store_done_t done, void *context)
{
	gn_store_op_t *op = talloc_zero(store, gn_store_op_t);

	if (!op)
		return NULL;
	op->store = store;
	op->change = *change;
	op->done = done;
	op->context = context;
	op->deadline_us =
		now_us(op) + (uint64_t)store->options.timeout_ms * GN_US_PER_MS;
	talloc_set_destructor(op, free_op);
	if (!copy_str(op, &op->change.text) || !copy_str(op, &op->change.id)) {
		talloc_free(op);
		return NULL;
	}
	return op;
}

static void finish(gn_store_op_t *op, uint64_t revision,
		   const gn_error_t *error)
{
	gn_store_result_t result = { error->code, revision, op->change.id,
				     error };

	g_queue_remove(&op->store->queue, op);
	g_queue_remove(&op->store->rejected, op);
	op->done(op->context, &result);
	talloc_free(op);
}

static void finish_with(gn_store_op_t *op, gn_code_t code, uint64_t revision,
			const char *detail)
{
	gn_error_t error = { 0 };

	gn_error_set(&error, code, STEP, NULL, "%s", detail);
	finish(op, revision, &error);
}

static void finish_accepted(gn_store_op_t *op, const gn_config_doc_t *doc,
			    uint64_t revision)
{
	gn_store_adopt(op->store, doc);
	finish_with(op, GN_OK, revision, "accepted");
}

void gn_store_op_reject(gn_store_op_t *op, gn_code_t code)
{
	finish_with(op, code, 0,
		    code == GN_ERR_CAPACITY ? "too many changes wait"
					    : "malformed change");
}

/* ======   Steps   ====== */

static void schedule_step(gn_store_op_t *op, gn_store_step_t step)
{
	op->step = step;
	op->due_us = now_us(op);
}

static void schedule_step_with_backoff(gn_store_op_t *op, gn_store_step_t step)
{
	op->step = step;
	op->due_us = now_us(op) +
		     gn_backoff_next_us(&op->backoff, op->store->options.rand);
}

static bool encode_proposal(gn_store_op_t *op)
{
	free(op->value);
	talloc_free(op->proposal);
	op->value = NULL;
	op->proposal = gn_config_doc_change(op, op->base, op->change.part,
					    op->change.text, op->change.id);
	if (op->proposal)
		op->value = gn_config_doc_encode(op->proposal);
	return op->value != NULL;
}

static bool has_conflict(const gn_store_op_t *op)
{
	const gn_config_text_t *part = &op->base->parts[op->change.part];

	if (op->change.if_revision)
		return op->base->revision != op->change.if_revision;
	return op->has_part_revision && part->revision != op->part_revision &&
	       !is_mutant(op, GN_STORE_MUTANT_REBASE_ALWAYS);
}

/* Builds the change on the base, or ends it if it can't be. */
static void propose(gn_store_op_t *op)
{
	const gn_store_options_t *options = &op->store->options;
	const gn_config_change_t *done =
		gn_config_doc_find(op->base, op->change.id);
	gn_error_t error = { 0 };

	if (done && !is_mutant(op, GN_STORE_MUTANT_BLIND_REWRITE)) {
		finish_accepted(op, op->base, done->revision);
		return;
	}
	if (has_conflict(op)) {
		finish_with(op, GN_ERR_CONFLICT, op->base->revision,
			    "changed by another operator");
		return;
	}
	op->has_part_revision = true;
	op->part_revision = op->base->parts[op->change.part].revision;
	if (!encode_proposal(op)) {
		finish_with(op, GN_ERR_MEMORY, op->base->revision,
			    "out of memory");
		return;
	}
	if (strlen(op->value) > GN_KV_VALUE_MAX) {
		finish_with(op, GN_ERR_RANGE, op->base->revision,
			    "the documents exceed 1 MB together");
		return;
	}
	if (options->check(options->context, op->proposal, &error) != GN_OK) {
		finish(op, op->base->revision, &error);
		return;
	}
	schedule_step(op, GN_STORE_WRITE);
}

/* Takes the document at the key as the base; false: it is malformed. */
static bool rebase(gn_store_op_t *op, const gn_kv_result_t *result)
{
	gn_config_doc_t *doc = NULL;

	if (!result->count)
		doc = gn_config_doc_create(op);
	else if (gn_config_doc_decode(op, result->entries[0].value, &doc) !=
		 GN_OK)
		return false;
	if (!doc)
		return false;
	talloc_free(op->base);
	op->base = doc;
	op->base_key_revision =
		result->count ? result->entries[0].revision : GN_KV_ABSENT;
	return true;
}

/* ======   Read   ====== */

static void handle_read(void *context, const gn_kv_result_t *result)
{
	gn_store_op_t *op = context;

	op->call = 0;
	if (result->code != GN_OK && result->code != GN_ERR_NOT_FOUND) {
		schedule_step_with_backoff(op, GN_STORE_READ);
		return;
	}
	if (!rebase(op, result)) {
		finish_with(op, GN_ERR_INVALID, 0,
			    "the stored document is malformed");
		return;
	}
	propose(op);
}

/* ======   Settle   ====== */

/*
 * The key has moved on from the base. The new document tells whether the
 * change is in it, for it remembers the latest changes.
 */
static void resolve_overwritten(gn_store_op_t *op, const gn_kv_result_t *result)
{
	uint64_t base_revision = op->base->revision;

	if (!result->count || !rebase(op, result) ||
	    (op->may_be_applied &&
	     op->base->revision - base_revision > GN_CONFIG_CHANGES_MAX)) {
		finish_with(op, GN_ERR_UNKNOWN, 0, "the key has moved on");
		return;
	}
	op->may_be_applied = false;
	propose(op);
}

static void resolve_write(gn_store_op_t *op, const gn_kv_result_t *result)
{
	if (is_mutant(op, GN_STORE_MUTANT_BLIND_REWRITE)) {
		schedule_step(op, GN_STORE_READ);
		return;
	}
	switch (gn_kv_settle(result, op->base_key_revision, op->change.id)) {
	case GN_KV_SETTLED_DONE:
		finish_accepted(op, op->proposal, op->proposal->revision);
		break;
	case GN_KV_SETTLED_OPEN:
		/* the same copy again: at most one of them can win */
		schedule_step(op, GN_STORE_WRITE);
		break;
	case GN_KV_SETTLED_PAST:
		resolve_overwritten(op, result);
		break;
	case GN_KV_SETTLED_UNKNOWN:
		schedule_step_with_backoff(op, GN_STORE_READ_BACK);
		break;
	}
}

static void handle_read_back(void *context, const gn_kv_result_t *result)
{
	gn_store_op_t *op = context;

	op->call = 0;
	resolve_write(op, result);
}

/* ======   Put   ====== */

static void handle_lost_answer(gn_store_op_t *op)
{
	op->may_be_applied = true;
	if (is_mutant(op, GN_STORE_MUTANT_ACCEPT_EARLY))
		finish_accepted(op, op->proposal, op->proposal->revision);
	else if (is_mutant(op, GN_STORE_MUTANT_DENY_EARLY))
		finish_with(op, GN_ERR_UNAVAILABLE, 0, "no answer");
	else
		schedule_step(op, GN_STORE_READ_BACK);
}

static void retry_write(gn_store_op_t *op)
{
	schedule_step_with_backoff(op, op->may_be_applied ? GN_STORE_READ_BACK
							  : GN_STORE_READ);
}

static void handle_write(void *context, const gn_kv_result_t *result)
{
	gn_store_op_t *op = context;

	op->call = 0;
	switch (result->code) {
	case GN_OK:
		finish_accepted(op, op->proposal, op->proposal->revision);
		break;
	case GN_ERR_CONFLICT:
		resolve_write(op, result);
		break;
	case GN_ERR_UNKNOWN:
		handle_lost_answer(op);
		break;
	case GN_ERR_UNAVAILABLE:
	case GN_ERR_RATE:
		retry_write(op);
		break;
	default:
		if (op->may_be_applied)
			retry_write(op);
		else
			finish(op, op->base->revision, result->error);
		break;
	}
}

static void start_write(gn_store_op_t *op)
{
	gn_kv_put_t put = { GN_STR(GN_STORE_KEY), gn_str_from(op->value),
			    op->change.id, op->base_key_revision, 0 };

	op->call = gn_kv_put(op->store->options.kv, &put, handle_write, op);
}

/* ======   Tick   ====== */

static void finish_at_deadline(gn_store_op_t *op)
{
	if (op->call && op->step == GN_STORE_WRITE)
		op->may_be_applied = true;
	if (op->may_be_applied)
		finish_with(op, GN_ERR_UNKNOWN, 0,
			    "not settled in time, ask by the change id");
	else
		finish_with(op, GN_ERR_UNAVAILABLE, 0,
			    "the platform's service did not answer in time");
}

void gn_store_op_tick(gn_store_op_t *op)
{
	gn_kv_t *kv = op->store->options.kv;
	gn_str_t key = GN_STR(GN_STORE_KEY);

	if (now_us(op) >= op->deadline_us) {
		finish_at_deadline(op);
		return;
	}
	if (op->call || now_us(op) < op->due_us)
		return;
	switch (op->step) {
	case GN_STORE_READ:
		op->call = gn_kv_get(kv, key, handle_read, op);
		break;
	case GN_STORE_WRITE:
		start_write(op);
		break;
	case GN_STORE_READ_BACK:
		op->call = gn_kv_get(kv, key, handle_read_back, op);
		break;
	}
}
