/**
 * @file run_model_leader.c
 * @brief The leaders: gn_sched with glue that follows
 *        lib/scheduler/executors.c and lib/scheduler/leading.c.
 */
#include "support/run_model_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/str.h"

#define TICK_INTERVAL_US (100 * RM_MS)
#define CONFIRM_INTERVAL_US (300 * RM_MS)
/** A leader may read its configuration only after this time. */
#define LATE_CONFIGURATION_MS 1500
#define LATE_CONFIGURATION_CHANCE 0.3

static const gn_queue_t queue = { .name = "q",
				  .host = "h",
				  .prefix = "/q/",
				  .service = "s",
				  .max_attempts = RM_MAX_ATTEMPTS,
				  .stretch = 2,
				  .target_ms = 1000 };

static const gn_queues_t configuration = { .version = 1,
					   .queues = &queue,
					   .queue_count = 1 };

static const gn_sched_config_t config = {
	.lease_ms = RM_LEASE_MS,
	.late_call_ms = RM_LATE_MAX_MS,
	.depose_ms = RM_DEPOSE_MS,
	.retain_ms = 600000,
	.stop_ms = RM_STOP_MS,
	.far_factor = 1,
	.harm_ms = 4000,
	.headroom_goal = 1.1,
};

/* ======   Callbacks   ====== */

static void free_order(gpointer order)
{
	gn__worker_order__free_unpacked(order, NULL);
}

static void send_order(void *arg, const char *host, const gn_run_order_t *order)
{
	rm_leader_t *leader = arg;
	Gn__WorkerOrder *message = malloc(sizeof(*message));

	gn__worker_order__init(message);
	message->kind = order->kind;
	message->task = strdup(order->task);
	message->attempt = order->attempt;
	message->life = strdup(order->life.id);
	message->born_ms = order->life.started_ms;
	message->checkpoint = strdup(order->checkpoint);
	message->ticket = strdup(order->ticket);
	message->percent = order->percent;
	message->first = order->first;
	g_ptr_array_add(leader->peers[host[1] - '0'].orders, message);
}

static void on_durable(void *arg, const char *job, uint64_t version)
{
	(void)arg;
	(void)job;
	(void)version;
}

static void log_event(void *arg, const gn_sched_event_t *event)
{
	const rm_leader_t *leader = arg;
	const rm_task_t *task =
		event->task ? rm_find_task(leader->model, event->task) : NULL;

	leader->model->counts->starts_given_up +=
		event->reason &&
		!strcmp(event->reason, "the worker's capacity has shrunk");
	leader->model->counts->evacuation_claims +=
		event->reason &&
		!strcmp(event->reason, "its data centre is evacuated");
	if (event->reason && !strcmp(event->name, "worker"))
		return;
	rm_log(leader->model, "leader", (unsigned)leader->epoch,
	       g_intern_string(event->name), task, event->attempt,
	       g_string_chunk_insert_const(leader->model->texts,
					   event->reason ? event->reason
							 : event->host));
}

static void request_advice(void *arg, const char *step,
			   const char *const *lives, size_t count)
{
	(void)arg;
	(void)step;
	(void)lives;
	(void)count;
}

static const gn_sched_ops_t sched_ops = { send_order, on_durable, log_event,
					  request_advice };

/* ======   Election   ====== */

rm_leader_t *rm_leader_find(run_model_t *model, uint64_t epoch)
{
	for (unsigned i = 0; i < RM_LEADERS; i++)
		if (model->leaders[i].sched && model->leaders[i].epoch == epoch)
			return &model->leaders[i];
	return NULL;
}

void rm_leader_end(rm_leader_t *leader)
{
	run_model_t *model = leader->model;

	if (!leader->sched)
		return;
	rm_store_end_batch(leader);
	for (unsigned i = 0; i < RM_WORKERS; i++)
		g_ptr_array_unref(leader->peers[i].orders);
	talloc_free(leader->sched);
	talloc_free(leader->evacuations);
	if (model->leader == leader)
		model->leader = NULL;
	memset(leader, 0, sizeof(*leader));
}

static void serve(run_model_t *model, void *data)
{
	rm_leader_t *leader = model->leader;

	(void)data;
	if (!leader || leader->serving)
		return;
	rm_store_load(leader);
	gn_sched_finish_loading(leader->sched);
	leader->serving = true;
	rm_log(model, "leader", (unsigned)leader->epoch, "serves", NULL, 0,
	       NULL);
	rm_leader_run_pass(leader);
}

static rm_leader_t *find_free_leader(run_model_t *model)
{
	rm_leader_t *leader = &model->leaders[0];

	for (unsigned i = 0; i < RM_LEADERS; i++)
		if (!model->leaders[i].sched)
			return &model->leaders[i];
	/* Only one deposed leader is left at a time. */
	if (!leader->superseded)
		leader++;
	rm_leader_end(leader);
	return leader;
}

static void configure(run_model_t *model, void *data)
{
	const rm_leader_t *leader = rm_leader_find(model, *(uint64_t *)data);

	g_free(data);
	if (leader)
		gn_sched_configure(leader->sched, &configuration);
}

static gn_sched_t *create_scheduler(rm_leader_t *leader)
{
	run_model_t *model = leader->model;
	gn_sched_config_t present = config;

	present.epoch = leader->epoch;
	present.lease_max_ms = rm_hold_max_ms(model);
	if (model->options.keeps_no_claims) {
		present.late_call_ms = 0;
		present.lease_max_ms = 0;
	}
	return gn_sched_create(NULL, &present, &model->clock, &model->wall,
			       &sched_ops, leader);
}

void rm_leader_elect(run_model_t *model, uint64_t load_us)
{
	rm_leader_t *leader = find_free_leader(model);
	uint64_t config_us = 0;

	leader->model = model;
	leader->epoch = ++model->epoch;
	leader->confirmed_us = rm_now_us(model);
	leader->sched = create_scheduler(leader);
	for (unsigned i = 0; i < RM_WORKERS; i++)
		leader->peers[i].orders =
			g_ptr_array_new_with_free_func(free_order);
	if (model->options.evacuations)
		rm_evacuations_open(leader);
	model->leader = leader;
	rm_log(model, "leader", (unsigned)leader->epoch, "is elected", NULL, 0,
	       NULL);
	rm_at(model, rm_now_us(model) + load_us, serve, NULL, NULL);
	if (rm_draw(model, LATE_CONFIGURATION_CHANCE)) {
		model->counts->late_configurations++;
		config_us = rm_draw_us(model, 0, LATE_CONFIGURATION_MS);
	}
	rm_at(model, rm_now_us(model) + config_us, configure,
	      g_memdup2(&leader->epoch, sizeof(leader->epoch)), g_free);
}

/* ======   Executors   ====== */

static void flush_peer(rm_leader_t *leader, unsigned at)
{
	rm_peer_t *peer = &leader->peers[at];
	Gn__WorkerOrders message = GN__WORKER_ORDERS__INIT;
	gn_life_t life;
	char host[8];
	uint64_t ends;
	uint64_t fence;

	g_snprintf(host, sizeof(host), "h%u", at);
	ends = gn_sched_get_durable_ends(leader->sched, host, &life);
	if (leader->model->options.bug == RUN_MODEL_BUG_EARLY_NOTE)
		ends = leader->model->workers[at].ends;
	fence = gn_sched_get_fence(leader->sched, host);
	if (!peer->unanswered_sequence && !peer->orders->len &&
	    ends == peer->ends_sent && fence == peer->fence_sent)
		return;
	message.epoch = MAX(leader->epoch, fence);
	message.ends_stored = ends;
	message.life = (char *)life.id;
	message.born_ms = life.started_ms;
	message.leave_stored = gn_sched_is_leave_durable(leader->sched, host);
	message.evacuated = gn_sched_is_evacuated(leader->sched, host);
	message.unsure = rm_now_us(leader->model) - leader->confirmed_us >
			 RM_LEADER_TTL_MS * RM_MS;
	message.sequence = peer->unanswered_sequence;
	message.basis = peer->last_sequence;
	message.n_orders = peer->orders->len;
	message.orders = (Gn__WorkerOrder **)peer->orders->pdata;
	rm_link_send_orders(leader, at, &message);
	peer->unanswered_sequence = 0;
	peer->ends_sent = ends;
	peer->fence_sent = fence;
	g_ptr_array_set_size(peer->orders, 0);
}

void rm_leader_run_pass(rm_leader_t *leader)
{
	uint64_t unconfirmed_us =
		rm_now_us(leader->model) - leader->confirmed_us;

	gn_sched_run_pass(leader->sched);
	rm_store_send_next(leader);
	if (unconfirmed_us >= RM_DEPOSE_MS * RM_MS)
		return;
	for (unsigned i = 0; i < RM_WORKERS; i++)
		flush_peer(leader, i);
}

void rm_leader_on_report(rm_leader_t *leader, uint64_t connection,
			 const Gn__WorkerReport *report)
{
	rm_peer_t *peer = &leader->peers[report->host[1] - '0'];

	peer->connection = connection;
	peer->unanswered_sequence = report->sequence;
	peer->last_sequence = report->sequence;
	gn_sched_handle_report(leader->sched, report);
	rm_leader_run_pass(leader);
}

void rm_leader_tick(rm_leader_t *leader)
{
	uint64_t now_us = rm_now_us(leader->model);

	if (leader == leader->model->leader &&
	    now_us - leader->confirmed_us >= CONFIRM_INTERVAL_US)
		leader->confirmed_us = now_us;
	rm_evacuations_tick(leader);
	if (now_us - leader->sched_tick_us >= TICK_INTERVAL_US) {
		leader->sched_tick_us = now_us;
		gn_sched_tick(leader->sched);
	}
	rm_leader_run_pass(leader);
}
