/**
 * @file store_work.c
 * @brief The state machine of one change.
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

static uint64_t now_us(const gn_store_work_t *work)
{
	return gn_clock_now_us(work->store->options.clock);
}

static bool is_mutant(const gn_store_work_t *work, gn_store_mutant_t mutant)
{
	return work->store->mutant == mutant;
}

/* ======   Creation and destruction   ====== */

static int free_work(gn_store_work_t *work)
{
	gn_kv_cancel(work->store->options.kv, work->call);
	free(work->value);
	return 0;
}

static bool copy_str(gn_store_work_t *work, gn_str_t *str)
{
	str->data = talloc_strndup(work, str->len ? str->data : "", str->len);
	return str->data != NULL;
}

gn_store_work_t *gn_store_work_create(gn_store_t *store,
				      const gn_store_change_t *change,
				      gn_store_done_t done, void *context)
{
	gn_store_work_t *work = talloc_zero(store, gn_store_work_t);

	if (!work)
		return NULL;
	work->store = store;
	work->change = *change;
	work->done = done;
	work->context = context;
	work->deadline_us = now_us(work) +
			    (uint64_t)store->options.timeout_ms * GN_US_PER_MS;
	talloc_set_destructor(work, free_work);
	if (!copy_str(work, &work->change.text) ||
	    !copy_str(work, &work->change.id)) {
		talloc_free(work);
		return NULL;
	}
	return work;
}

static void finish(gn_store_work_t *work, uint64_t revision,
		   const gn_error_t *error)
{
	gn_store_result_t result = { error->code, revision, work->change.id,
				     error };

	g_queue_remove(&work->store->queue, work);
	g_queue_remove(&work->store->rejected, work);
	work->done(work->context, &result);
	talloc_free(work);
}

static void finish_with(gn_store_work_t *work, gn_code_t code,
			uint64_t revision, const char *detail)
{
	gn_error_t error = { 0 };

	gn_error_set(&error, code, STEP, NULL, "%s", detail);
	finish(work, revision, &error);
}

static void finish_accepted(gn_store_work_t *work, const gn_config_doc_t *doc,
			    uint64_t revision)
{
	gn_store_adopt(work->store, doc);
	finish_with(work, GN_OK, revision, "accepted");
}

void gn_store_work_reject(gn_store_work_t *work, gn_code_t code)
{
	finish_with(work, code, 0,
		    code == GN_ERR_CAPACITY
			    ? "the queue of changes is full"
			    : "the id or the part of the change is invalid");
}

/* ======   Steps   ====== */

static void schedule_step(gn_store_work_t *work, gn_store_step_t step)
{
	work->step = step;
	work->due_us = now_us(work);
}

static void schedule_step_with_backoff(gn_store_work_t *work,
				       gn_store_step_t step)
{
	work->step = step;
	work->due_us =
		now_us(work) +
		gn_backoff_next_us(&work->backoff, work->store->options.rand);
}

static bool encode_proposal(gn_store_work_t *work)
{
	free(work->value);
	talloc_free(work->proposal);
	work->value = NULL;
	work->proposal =
		gn_config_doc_change(work, work->base, work->change.part,
				     work->change.text, work->change.id);
	if (work->proposal)
		work->value = gn_config_doc_encode(work->proposal);
	return work->value != NULL;
}

/*
 * A change with an expected revision conflicts with any other change, one
 * without only with changes of the same part since it was first read.
 */
static bool has_conflict(const gn_store_work_t *work)
{
	const gn_config_text_t *part = &work->base->parts[work->change.part];

	if (work->change.if_revision)
		return work->base->revision != work->change.if_revision;
	return work->has_part_revision &&
	       part->revision != work->part_revision &&
	       !is_mutant(work, GN_STORE_MUTANT_REBASE_ALWAYS);
}

/* Applies the change to the base and validates it; ends it if that fails. */
static void propose(gn_store_work_t *work)
{
	const gn_store_options_t *options = &work->store->options;
	const gn_config_change_t *done =
		gn_config_doc_find(work->base, work->change.id);
	gn_error_t error = { 0 };

	if (done && !is_mutant(work, GN_STORE_MUTANT_BLIND_REWRITE)) {
		finish_accepted(work, work->base, done->revision);
		return;
	}
	if (has_conflict(work)) {
		finish_with(work, GN_ERR_CONFLICT, work->base->revision,
			    "conflicts with a change by another operator");
		return;
	}
	work->has_part_revision = true;
	work->part_revision = work->base->parts[work->change.part].revision;
	if (!encode_proposal(work)) {
		finish_with(work, GN_ERR_MEMORY, work->base->revision,
			    "out of memory");
		return;
	}
	if (strlen(work->value) > GN_KV_VALUE_MAX) {
		finish_with(work, GN_ERR_RANGE, work->base->revision,
			    "the inventory and the rules together exceed 1 MB");
		return;
	}
	if (options->check(options->context, work->proposal, &error) != GN_OK) {
		finish(work, work->base->revision, &error);
		return;
	}
	schedule_step(work, GN_STORE_WRITE);
}

/* Makes the stored document the base; returns false if it is malformed. */
static bool rebase(gn_store_work_t *work, const gn_kv_result_t *result)
{
	gn_config_doc_t *doc = NULL;

	if (!result->count)
		doc = gn_config_doc_create(work);
	else if (gn_config_doc_decode(work, result->entries[0].value, &doc) !=
		 GN_OK)
		return false;
	if (!doc)
		return false;
	talloc_free(work->base);
	work->base = doc;
	work->base_key_revision =
		result->count ? result->entries[0].revision : GN_KV_ABSENT;
	return true;
}

/* ======   Read   ====== */

static void handle_read(void *context, const gn_kv_result_t *result)
{
	gn_store_work_t *work = context;

	work->call = 0;
	if (result->code != GN_OK && result->code != GN_ERR_NOT_FOUND) {
		schedule_step_with_backoff(work, GN_STORE_READ);
		return;
	}
	if (!rebase(work, result)) {
		finish_with(work, GN_ERR_INVALID, 0,
			    "the stored document is malformed");
		return;
	}
	propose(work);
}

/* ======   Read back   ====== */

/*
 * Handles a key that has been overwritten since the base was read. The new
 * document lists the latest changes, so it shows whether this change took
 * effect, unless more than GN_CONFIG_CHANGES_MAX changes have followed.
 */
static void resolve_overwritten(gn_store_work_t *work,
				const gn_kv_result_t *result)
{
	uint64_t base_revision = work->base->revision;

	if (!result->count || !rebase(work, result) ||
	    (work->may_be_applied &&
	     work->base->revision - base_revision > GN_CONFIG_CHANGES_MAX)) {
		finish_with(work, GN_ERR_UNKNOWN, 0,
			    "the outcome is unknown after later changes");
		return;
	}
	work->may_be_applied = false;
	propose(work);
}

static void resolve_write(gn_store_work_t *work, const gn_kv_result_t *result)
{
	if (is_mutant(work, GN_STORE_MUTANT_BLIND_REWRITE)) {
		schedule_step(work, GN_STORE_READ);
		return;
	}
	switch (gn_kv_resolve_write(result, work->base_key_revision,
				    work->change.id)) {
	case GN_KV_WRITE_APPLIED:
		finish_accepted(work, work->proposal, work->proposal->revision);
		break;
	case GN_KV_WRITE_PENDING:
		/* Of identical writes at most one can take effect. */
		schedule_step(work, GN_STORE_WRITE);
		break;
	case GN_KV_WRITE_SUPERSEDED:
		resolve_overwritten(work, result);
		break;
	case GN_KV_WRITE_UNKNOWN:
		schedule_step_with_backoff(work, GN_STORE_READ_BACK);
		break;
	}
}

static void handle_read_back(void *context, const gn_kv_result_t *result)
{
	gn_store_work_t *work = context;

	work->call = 0;
	resolve_write(work, result);
}

/* ======   Write   ====== */

static void handle_lost_response(gn_store_work_t *work)
{
	work->may_be_applied = true;
	if (is_mutant(work, GN_STORE_MUTANT_ACCEPT_EARLY))
		finish_accepted(work, work->proposal, work->proposal->revision);
	else if (is_mutant(work, GN_STORE_MUTANT_DENY_EARLY))
		finish_with(work, GN_ERR_UNAVAILABLE, 0, "no response");
	else
		schedule_step(work, GN_STORE_READ_BACK);
}

static void retry_write(gn_store_work_t *work)
{
	schedule_step_with_backoff(work, work->may_be_applied
						 ? GN_STORE_READ_BACK
						 : GN_STORE_READ);
}

static void handle_write(void *context, const gn_kv_result_t *result)
{
	gn_store_work_t *work = context;

	work->call = 0;
	switch (result->code) {
	case GN_OK:
		finish_accepted(work, work->proposal, work->proposal->revision);
		break;
	case GN_ERR_CONFLICT:
		resolve_write(work, result);
		break;
	case GN_ERR_UNKNOWN:
		handle_lost_response(work);
		break;
	case GN_ERR_UNAVAILABLE:
	case GN_ERR_RATE:
		retry_write(work);
		break;
	default:
		if (work->may_be_applied)
			retry_write(work);
		else
			finish(work, work->base->revision, result->error);
		break;
	}
}

static void start_write(gn_store_work_t *work)
{
	gn_kv_put_t put = { GN_STR(GN_STORE_KEY), gn_str_from(work->value),
			    work->change.id, work->base_key_revision, 0 };

	work->call =
		gn_kv_put(work->store->options.kv, &put, handle_write, work);
}

/* ======   Tick   ====== */

static void finish_at_deadline(gn_store_work_t *work)
{
	if (work->call && work->step == GN_STORE_WRITE)
		work->may_be_applied = true;
	if (work->may_be_applied)
		finish_with(
			work, GN_ERR_UNKNOWN, 0,
			"the outcome is unknown; query it by the change ID");
	else
		finish_with(work, GN_ERR_UNAVAILABLE, 0,
			    "the platform's key-value service did not "
			    "respond in time");
}

void gn_store_work_tick(gn_store_work_t *work)
{
	gn_kv_t *kv = work->store->options.kv;
	gn_str_t key = GN_STR(GN_STORE_KEY);

	if (now_us(work) >= work->deadline_us) {
		finish_at_deadline(work);
		return;
	}
	if (work->call || now_us(work) < work->due_us)
		return;
	switch (work->step) {
	case GN_STORE_READ:
		work->call = gn_kv_get(kv, key, handle_read, work);
		break;
	case GN_STORE_WRITE:
		start_write(work);
		break;
	case GN_STORE_READ_BACK:
		work->call = gn_kv_get(kv, key, handle_read_back, work);
		break;
	}
}
