/**
 * @file batch_model_entry.c
 * @brief The entries of the model, around the product's bucket and promises.
 */
#include <string.h>

#include "support/batch_model_internal.h"

#define ANSWER_TIMEOUT_US (2 * GN_US_PER_S)

static const gn_batch_params_t bucket_params = {
	.promise_us = PROMISE_US,
	.drift_us = DRIFT_US,
	.retention_us = 3600ULL * GN_US_PER_S,
	.queue = { .ageing_step_us = 60 * GN_US_PER_S,
		   .backoff_min_us = GN_US_PER_S / 2,
		   .backoff_max_us = 4 * GN_US_PER_S },
};

static uint64_t entry_now(const entry_t *entry)
{
	return gn_clock_now_us(&entry->clock);
}

static message_t *make_message(gn_model_t *model, entry_t *entry,
			       message_type_t type, int to)
{
	message_t *message = model_create_message(model, type, entry->node, to);

	message->from_incarnation = entry->incarnation;
	message->sent_us = entry_now(entry);
	return message;
}

/* ======   Start and end   ====== */

static void clear_entry(entry_t *entry)
{
	message_t *message;

	while ((message = g_queue_pop_head(&entry->inbox)))
		talloc_free(message);
	if (entry->pending)
		g_array_free(entry->pending, TRUE);
	entry->pending = NULL;
	TALLOC_FREE(entry->bucket);
	TALLOC_FREE(entry->promise);
	TALLOC_FREE(entry->view);
}

void model_entry_remove(gn_model_t *model, int index)
{
	clear_entry(&model->entries[index]);
	model->entries[index].present = false;
}

static void start_entry(gn_model_t *model, int index)
{
	static const gn_promise_params_t params = {
		.renew_us = RENEW_US,
		.confirm_us = CONFIRM_US,
		.promise_us = PROMISE_US,
		.drift_us = DRIFT_US,
		.outage_max_us = OUTAGE_MAX_US,
		.rate_ppm = RATE_PPM,
	};
	entry_t *entry = &model->entries[index];

	clear_entry(entry);
	entry->node = NODE_ENTRY + index;
	entry->present = true;
	entry->incarnation = ++model->next_incarnation;
	entry->frozen_until_us = 0;
	entry->write_id = 0;
	entry->read_sent_us = 0;
	entry->promise = gn_promise_create(model, &params, &entry->clock,
					   entry->incarnation);
	entry->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
}

void model_entry_spawn(gn_model_t *model, int index)
{
	start_entry(model, index);
	memset(model->entries[index].retired, 0,
	       sizeof(model->entries[index].retired));
}

void model_entry_rejoin(gn_model_t *model, entry_t *entry)
{
	unsigned slot = entry->retired_next++ % RETIRED_MAX;

	model->counts->rejoin++;
	entry->retired[slot] =
		(retired_t){ entry->incarnation, entry_now(entry) };
	start_entry(model, entry->node - NODE_ENTRY);
}

entry_t *model_find_owner(gn_model_t *model)
{
	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &model->entries[i];

		if (entry->present && entry->bucket &&
		    gn_batch_bucket_get_ownership(entry->bucket) ==
			    GN_BATCH_OWNED)
			return entry;
	}
	return NULL;
}

/* ======   Membership   ====== */

static void adopt_view(gn_model_t *model, entry_t *entry, const view_t *view)
{
	gn_promise_member_t members[MEMBERS_MAX];

	for (size_t i = 0; i < view->count; i++) {
		members[i].incarnation = view->members[i].incarnation;
		members[i].joined = view->members[i].joined;
		members[i].acked = view->members[i].acked;
	}
	if (view->revision < gn_promise_revision(entry->promise))
		model->counts->older_view++;
	gn_promise_adopt(entry->promise, view->revision, members, view->count);
	if (entry->view && view->revision < entry->view->revision)
		return;
	talloc_free(entry->view);
	entry->view = talloc_memdup(model, view, sizeof(*view));
}

static bool is_member(const entry_t *entry)
{
	uint64_t revision = gn_promise_revision(entry->promise);

	return revision && !gn_promise_has_left(entry->promise,
						entry->incarnation, revision);
}

/** @return false if the entry was restarted as a new member */
static bool on_view(gn_model_t *model, entry_t *entry, const message_t *message)
{
	if (message->answers == MSG_RENEW && is_member(entry) &&
	    !message->view->is_asker_live) {
		model_entry_rejoin(model, entry);
		return false;
	}
	if (message->answers == MSG_RENEW && message->view->is_asker_live)
		gn_promise_on_renewed(entry->promise, message->sent_us);
	adopt_view(model, entry, message->view);
	if (!gn_promise_is_removed(entry->promise))
		return true;
	model_entry_rejoin(model, entry);
	return false;
}

static void remove_dead(gn_model_t *model, entry_t *entry)
{
	for (size_t i = 0; i < entry->view->count; i++) {
		message_t *message;

		if (entry->view->members[i].is_live)
			continue;
		message = make_message(model, entry, MSG_REMOVE, NODE_PLATFORM);
		message->a = entry->view->revision;
		message->b = entry->view->members[i].incarnation;
		model_send(model, message);
	}
}

static void maintain_membership(gn_model_t *model, entry_t *entry)
{
	bool may_renew = !entry->view || is_member(entry);
	message_t *message = make_message(
		model, entry, may_renew ? MSG_RENEW : MSG_JOIN, NODE_PLATFORM);

	message->a = gn_promise_revision(entry->promise);
	if (may_renew && model->bug == GN_MODEL_BUG_EARLY_ACK && message->a)
		message->a += 3;
	if (!may_renew)
		message->a = entry->view->revision;
	model_send(model, message);
	if (entry->view && gn_promise_is_normal(entry->promise))
		remove_dead(model, entry);
}

/* ======   Queries between entries   ====== */

static int find_entry(const gn_model_t *model, uint64_t incarnation)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (model->entries[i].present &&
		    model->entries[i].incarnation == incarnation)
			return NODE_ENTRY + i;
	}
	return 0;
}

static void send_query(gn_model_t *model, entry_t *entry, int kind,
		       uint64_t peer, uint64_t about)
{
	int node = find_entry(model, peer);
	message_t *message;

	if (!node)
		return;
	message = make_message(model, entry, MSG_QUERY, node);
	message->to_incarnation = peer;
	message->a = (uint64_t)kind;
	message->b = about;
	model_send(model, message);
}

static void query_confirmers(gn_model_t *model, entry_t *entry)
{
	uint64_t others[MEMBERS_MAX];
	size_t count =
		gn_promise_list_confirmers(entry->promise, others, MEMBERS_MAX);

	for (size_t i = 0; i < count; i++)
		send_query(model, entry, GN_PROMISE_CONFIRM, others[i],
			   entry->incarnation);
}

static void query_vouchers(gn_model_t *model, entry_t *entry)
{
	gn_batch_predecessor_t owners[GN_BATCH_PREDECESSORS_MAX];
	uint64_t vouchers[MEMBERS_MAX];
	size_t owner_count = gn_batch_bucket_list_unsettled(
		entry->bucket, owners, GN_BATCH_PREDECESSORS_MAX);

	for (size_t i = 0; i < owner_count; i++) {
		size_t count = gn_promise_list_vouchers(
			entry->promise, owners[i].incarnation, owners[i].acked,
			vouchers, MEMBERS_MAX);

		for (size_t j = 0; j < count; j++)
			send_query(model, entry, GN_PROMISE_VOUCH, vouchers[j],
				   owners[i].incarnation);
	}
}

/** Whether all promises of this process as @p incarnation have lapsed. */
static bool is_retired(const gn_model_t *model, const entry_t *entry,
		       uint64_t incarnation)
{
	const uint64_t lapse_us = model->bug == GN_MODEL_BUG_EARLY_RETIRE
					  ? 0
					  : PROMISE_US + CONFIRM_US + DRIFT_US;

	for (int i = 0; i < RETIRED_MAX; i++) {
		const retired_t *retired = &entry->retired[i];

		if (retired->incarnation == incarnation)
			return entry_now(entry) - retired->dropped_us >
			       lapse_us;
	}
	return false;
}

/**
 * Asks all members, this entry included, whether they retired the incarnation
 * of an earlier owner: any of them may be the process that ran as that owner.
 */
static void query_retired(gn_model_t *model, entry_t *entry)
{
	gn_batch_predecessor_t owners[GN_BATCH_PREDECESSORS_MAX];
	size_t count = gn_batch_bucket_list_unsettled(
		entry->bucket, owners, GN_BATCH_PREDECESSORS_MAX);

	for (size_t i = 0; i < count; i++) {
		uint64_t owner = owners[i].incarnation;

		if (is_retired(model, entry, owner))
			gn_promise_set_retired(entry->promise, owner);
		for (size_t j = 0; entry->view && j < entry->view->count; j++) {
			uint64_t peer = entry->view->members[j].incarnation;

			if (peer != entry->incarnation)
				send_query(model, entry, QUERY_RETIRED, peer,
					   owner);
		}
	}
}

static bool is_granted(gn_model_t *model, entry_t *entry,
		       const message_t *message)
{
	if (message->a == QUERY_RETIRED)
		return is_retired(model, entry, message->b);
	return gn_promise_on_query(entry->promise,
				   (gn_promise_query_t)message->a,
				   message->from_incarnation, message->b);
}

static void on_query(gn_model_t *model, entry_t *entry,
		     const message_t *message)
{
	message_t *answer;

	if (!is_granted(model, entry, message))
		return;
	if (message->a == GN_PROMISE_VOUCH)
		model->counts->vouched++;
	answer = make_message(model, entry, MSG_ANSWER, message->from);
	answer->to_incarnation = message->from_incarnation;
	answer->sent_us = message->sent_us;
	answer->a = message->a;
	answer->b = message->b;
	answer->granted = true;
	model_send(model, answer);
}

static void on_answer(gn_model_t *model, entry_t *entry,
		      const message_t *message)
{
	if (message->a != QUERY_RETIRED) {
		gn_promise_on_answer(entry->promise,
				     (gn_promise_query_t)message->a,
				     message->from_incarnation, message->b,
				     message->sent_us, message->granted);
		return;
	}
	model->counts->retired++;
	gn_promise_set_retired(entry->promise, message->b);
}

/* ======   Orders   ====== */

static const gn_task_t *copy_task(TALLOC_CTX *parent, const gn_task_t *task)
{
	gn_task_t *copy = talloc_zero(parent, gn_task_t);

	copy->id = task->id;
	copy->kind = talloc_strdup(copy, task->kind);
	copy->checkpoint = talloc_strdup(copy, task->checkpoint);
	copy->cores = task->cores;
	return copy;
}

static void send_orders(gn_model_t *model, entry_t *entry, int to,
			uint64_t incarnation, uint64_t sent_us,
			gn_batch_orders_t *orders)
{
	message_t *message = make_message(model, entry, MSG_ORDERS, to);
	const gn_batch_stats_t *stats = gn_batch_bucket_stats(entry->bucket);

	message->to_incarnation = incarnation;
	message->sent_us = sent_us;
	message->owner_epoch = gn_batch_bucket_epoch(entry->bucket);
	message->orders = talloc_steal(message, orders->orders);
	message->count = orders->count;
	for (size_t i = 0; i < orders->count; i++) {
		if (orders->orders[i].task)
			message->orders[i].task =
				copy_task(message, orders->orders[i].task);
	}
	if (!gn_promise_is_normal(entry->promise))
		model->counts->outage_promise +=
			stats->promises - entry->counted.promises;
	entry->counted.promises = stats->promises;
	model_send(model, message);
}

static void on_poll(gn_model_t *model, entry_t *entry, message_t *message)
{
	gn_batch_orders_t orders;
	gn_batch_poll_t poll = {
		.incarnation = message->from_incarnation,
		.sent_us = message->sent_us,
		.reports = message->reports,
		.report_count = message->count,
		.worker = &message->worker,
	};

	if (!entry->bucket ||
	    gn_batch_bucket_on_poll(entry->bucket, &poll, model, &orders))
		return;
	send_orders(model, entry, message->from, message->from_incarnation,
		    message->sent_us, &orders);
}

static void send_starts(gn_model_t *model, entry_t *entry)
{
	gn_batch_orders_t orders;
	const char *worker;
	uint64_t incarnation;
	uint64_t sent_us;

	while (gn_batch_bucket_next_starts(entry->bucket, model, &worker,
					   &incarnation, &sent_us, &orders))
		send_orders(model, entry, NODE_AGENT + worker[1] - '0',
			    incarnation, sent_us, &orders);
}

/* ======   The bucket   ====== */

static void on_read_answer(gn_model_t *model, entry_t *entry,
			   const message_t *message)
{
	if (!entry->read_sent_us || message->sent_us != entry->read_sent_us)
		return;
	entry->read_sent_us = 0;
	if (entry->bucket) {
		model->counts->read_back++;
		gn_batch_bucket_on_read(entry->bucket, message->value,
					message->revision);
		entry->write_id = 0;
		return;
	}
	if (!gn_promise_is_normal(entry->promise))
		return;
	memset(&entry->counted, 0, sizeof(entry->counted));
	if (gn_batch_bucket_create(
		    model, BUCKET, entry->incarnation, message->value,
		    message->revision, &bucket_params,
		    gn_promise_gate(entry->promise), &entry->clock, model->rand,
		    &entry->bucket, NULL))
		entry->bucket = NULL;
}

static void on_write_answer(gn_model_t *model, entry_t *entry,
			    const message_t *message)
{
	bool was_taking;

	if (!entry->bucket)
		return;
	was_taking =
		gn_batch_bucket_get_ownership(entry->bucket) == GN_BATCH_TAKING;
	gn_batch_bucket_on_commit(entry->bucket, message->a, message->code,
				  message->revision);
	if (entry->write_id == message->a)
		entry->write_id = 0;
	if (was_taking &&
	    gn_batch_bucket_get_ownership(entry->bucket) == GN_BATCH_OWNED)
		model->counts->ownership_taken++;
	send_starts(model, entry);
}

static void send_read(gn_model_t *model, entry_t *entry)
{
	message_t *message;

	if (entry->read_sent_us &&
	    entry_now(entry) - entry->read_sent_us < ANSWER_TIMEOUT_US)
		return;
	message = make_message(model, entry, MSG_READ, NODE_PLATFORM);
	entry->read_sent_us = message->sent_us;
	model_send(model, message);
}

static void write_bucket(gn_model_t *model, entry_t *entry)
{
	gn_batch_commit_t commit;
	message_t *message;

	if (entry->write_id &&
	    entry_now(entry) - entry->write_sent_us > ANSWER_TIMEOUT_US) {
		gn_batch_bucket_on_commit(entry->bucket, entry->write_id,
					  GN_ERR_TIMEOUT, 0);
		entry->write_id = 0;
	}
	if (gn_batch_bucket_wants_read(entry->bucket))
		send_read(model, entry);
	if (!gn_batch_bucket_next_commit(entry->bucket, &commit))
		return;
	message = make_message(model, entry, MSG_WRITE, NODE_PLATFORM);
	message->a = commit.change_id;
	message->revision = commit.expected_revision;
	message->value.data =
		talloc_memdup(message, commit.value.data, commit.value.len);
	message->value.len = commit.value.len;
	entry->write_id = commit.change_id;
	entry->write_sent_us = message->sent_us;
	model_send(model, message);
}

/* ======   Steps   ====== */

static void drive_bucket(gn_model_t *model, entry_t *entry)
{
	gn_batch_ownership_t standing =
		gn_batch_bucket_get_ownership(entry->bucket);
	const gn_batch_stats_t *stats = gn_batch_bucket_stats(entry->bucket);

	if (standing == GN_BATCH_LOST || standing == GN_BATCH_RELEASED) {
		model->counts->lost_bucket += standing == GN_BATCH_LOST;
		TALLOC_FREE(entry->bucket);
		g_array_set_size(entry->pending, 0);
		entry->write_id = 0;
		return;
	}
	gn_batch_bucket_tick(entry->bucket);
	model->counts->lapse_move += stats->expiries - entry->counted.expiries;
	entry->counted.expiries = stats->expiries;
	if (standing == GN_BATCH_OWNED) {
		model_serve_callers(model, entry);
		if (model_chance(model, .002)) {
			model->counts->ownership_released++;
			gn_batch_bucket_release(entry->bucket);
		}
	}
	if (standing == GN_BATCH_RELEASING && model_chance(model, .1))
		gn_batch_bucket_keep(entry->bucket);
	write_bucket(model, entry);
	if (!model_is_send_step(model))
		return;
	query_vouchers(model, entry);
	query_retired(model, entry);
}

static bool handle_message(gn_model_t *model, entry_t *entry,
			   message_t *message)
{
	if (message->to_incarnation &&
	    message->to_incarnation != entry->incarnation)
		return true;
	switch (message->type) {
	case MSG_VIEW:
		return on_view(model, entry, message);
	case MSG_READ_ANSWER:
		on_read_answer(model, entry, message);
		break;
	case MSG_WRITE_ANSWER:
		on_write_answer(model, entry, message);
		break;
	case MSG_QUERY:
		on_query(model, entry, message);
		break;
	case MSG_ANSWER:
		on_answer(model, entry, message);
		break;
	case MSG_POLL:
		on_poll(model, entry, message);
		break;
	default:
		g_assert_not_reached();
	}
	return true;
}

void model_entry_step(gn_model_t *model, entry_t *entry)
{
	message_t *message;

	while ((message = g_queue_pop_head(&entry->inbox))) {
		bool is_same_member = handle_message(model, entry, message);

		talloc_free(message);
		if (!is_same_member)
			return;
	}
	if (model_is_send_step(model)) {
		maintain_membership(model, entry);
		query_confirmers(model, entry);
	}
	if (entry->bucket)
		drive_bucket(model, entry);
	else if (gn_promise_is_normal(entry->promise) &&
		 model_chance(model, .3))
		send_read(model, entry);
}
