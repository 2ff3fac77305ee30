/**
 * @file run_model_link.c
 * @brief Links between executors and leaders. Messages of a connection arrive
 *        in order; those on their way are lost with it.
 */
#include "support/run_model_internal.h"

#include <stdlib.h>

#define WAY_MAX_MS 400
#define WAY_QUICK_MS 3
/** Chance of a long way, in a spell and else. */
#define SLOW_CHANCE 0.5
#define BASE_CHANCE 0.03
/** Longest time until a link that was cut is connected again. */
#define RECONNECT_MS 400

typedef struct message_s {
	unsigned at; /**< Index of the executor. */
	uint64_t connection;
	uint64_t target; /**< Epoch of the leader. */
	size_t len;
	uint8_t data[];
} message_t;

void rm_link_connect(rm_executor_t *executor, uint64_t target)
{
	run_model_t *model = executor->model;

	executor->connection = ++model->serial;
	executor->target = target;
	executor->answered_us = rm_now_us(model);
	executor->report_due = true;
	executor->reported_us = 0;
	executor->last_up_us = 0;
	executor->last_down_us = 0;
}

static void reconnect(run_model_t *model, void *data)
{
	rm_executor_t *executor = data;

	/* The executor doesn't notice; its link connects by itself. */
	if (executor->up && executor->connection &&
	    rm_now_us(model) >= executor->cut_us)
		executor->connection = ++model->serial;
}

void rm_link_cut(run_model_t *model, rm_executor_t *executor, uint64_t until_us)
{
	model->counts->links_cut++;
	executor->cut_us = until_us;
	if (executor->connection)
		executor->connection = ++model->serial;
	rm_at(model, until_us + rm_draw_us(model, 0, RECONNECT_MS), reconnect,
	      executor, NULL);
}

static bool is_cut(const rm_executor_t *executor)
{
	return rm_now_us(executor->model) < executor->cut_us;
}

/* Returns when a message arrives after those sent before. */
static uint64_t draw_arrival_us(rm_executor_t *executor, uint64_t *last_us)
{
	run_model_t *model = executor->model;
	uint64_t now_us = rm_now_us(model);
	bool slow = rm_draw(model, now_us < executor->slow_us ? SLOW_CHANCE
							      : BASE_CHANCE);
	uint64_t way_us =
		rm_draw_us(model, 0, slow ? WAY_MAX_MS : WAY_QUICK_MS);

	*last_us = MAX(*last_us, now_us + way_us);
	return *last_us;
}

static message_t *create_message(const rm_executor_t *executor, size_t len)
{
	message_t *message = g_malloc(sizeof(*message) + len);

	message->at = executor->at;
	message->connection = executor->connection;
	message->target = executor->target;
	message->len = len;
	return message;
}

/* Whether the connection of a message that arrives still exists. */
static bool is_open(run_model_t *model, const message_t *message)
{
	const rm_executor_t *executor = &model->executors[message->at];

	if (executor->connection == message->connection && !is_cut(executor))
		return true;
	model->counts->messages_lost++;
	return false;
}

/* ======   Reports   ====== */

static void on_redirect(run_model_t *model, void *data)
{
	message_t *message = data;
	rm_executor_t *executor = &model->executors[message->at];

	if (executor->up && !rm_executor_is_frozen(executor) &&
	    is_open(model, message) && model->leader &&
	    model->leader->epoch != executor->target) {
		model->counts->redirects++;
		rm_link_connect(executor, model->leader->epoch);
	}
	g_free(message);
}

/* A process that has handed over names the next leader once that is known. */
static void redirect(run_model_t *model, const message_t *message)
{
	if (message->target != model->resigned_epoch ||
	    rm_now_us(model) >= model->resigned_until_us || !model->leader)
		return;
	rm_at(model, rm_now_us(model) + rm_draw_us(model, 0, WAY_QUICK_MS),
	      on_redirect, g_memdup2(message, sizeof(*message)), g_free);
}

static void on_report(run_model_t *model, void *data)
{
	message_t *message = data;
	rm_leader_t *leader = rm_leader_find(model, message->target);
	bool arrives = is_open(model, message);
	Gn__WorkerReport *report;

	if (arrives && !leader)
		redirect(model, message);
	if (arrives && leader && leader->serving) {
		report = gn__worker_report__unpack(NULL, message->len,
						   message->data);
		rm_leader_on_report(leader, message->connection, report);
		gn__worker_report__free_unpacked(report, NULL);
	}
	g_free(message);
}

bool rm_link_send_report(rm_executor_t *executor,
			 const Gn__WorkerReport *report)
{
	message_t *message;

	/* A cut link refuses what it can't queue. */
	if (is_cut(executor))
		return rm_draw(executor->model, 0.5);
	message = create_message(executor,
				 gn__worker_report__get_packed_size(report));
	gn__worker_report__pack(report, message->data);
	rm_at(executor->model, draw_arrival_us(executor, &executor->last_up_us),
	      on_report, message, g_free);
	return true;
}

/* ======   Orders   ====== */

static void on_orders(run_model_t *model, void *data)
{
	message_t *message = data;
	rm_executor_t *executor = &model->executors[message->at];
	Gn__WorkerOrders *orders;

	if (executor->up && rm_executor_is_frozen(executor)) {
		rm_at(model, executor->frozen_us, on_orders, message, g_free);
		return;
	}
	if (executor->up && is_open(model, message)) {
		orders = gn__worker_orders__unpack(NULL, message->len,
						   message->data);
		rm_executor_on_orders(executor, orders);
		gn__worker_orders__free_unpacked(orders, NULL);
	}
	g_free(message);
}

void rm_link_send_orders(rm_leader_t *leader, unsigned at,
			 const Gn__WorkerOrders *orders)
{
	run_model_t *model = leader->model;
	rm_executor_t *executor = &model->executors[at];
	message_t *message;

	/* The leader answers on the connection of the last report. */
	if (executor->connection != leader->peers[at].connection ||
	    is_cut(executor)) {
		model->counts->messages_lost++;
		return;
	}
	message = create_message(executor,
				 gn__worker_orders__get_packed_size(orders));
	gn__worker_orders__pack(orders, message->data);
	rm_at(model, draw_arrival_us(executor, &executor->last_down_us),
	      on_orders, message, g_free);
}
