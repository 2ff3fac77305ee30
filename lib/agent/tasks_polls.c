/**
 * @file tasks_polls.c
 * @brief Polls the entries for work and handles their orders.
 */
#include "agent/agent_internal.h"
#include "wire/task_wire.h"

/** Interval of polls while no run changes, milliseconds. */
#define POLL_INTERVAL_MS 300

static void fill_free_resources(agent_t *agent, Gn__TaskPoll *poll)
{
	const gn_settings_t *settings = agent->runtime->settings;
	const gn_worker_tasks_stats_t *used =
		gn_worker_tasks_stats(agent->tasks);
	unsigned slots = settings->max_tasks > used->running
				 ? settings->max_tasks - used->running
				 : 0;

	poll->free_tasks = agent_interference_limit_slots(agent, slots);
	poll->free_cores = settings->cores > used->cores
				   ? settings->cores - used->cores
				   : 0;
	poll->free_memory_mb = settings->memory_mb > used->memory_mb
				       ? settings->memory_mb - used->memory_mb
				       : 0;
	poll->free_accelerators =
		settings->accelerators > used->accelerators
			? settings->accelerators - used->accelerators
			: 0;
	poll->draining =
		agent_is_draining(agent) || !agent_backend_is_ready(agent);
}

static void send_poll(agent_t *agent, agent_link_t *link, uint64_t sent_us)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__TaskPoll poll = GN__TASK_POLL__INIT;
	const char *kinds[GN_BATCH_KINDS_MAX];
	gn_batch_report_t *reports;
	size_t count;

	if (gn_worker_tasks_list_reports(agent->tasks, UINT_MAX, scratch,
					 &reports, &count) ||
	    gn_task_wire_encode_runs(scratch, reports, count, &poll))
		goto out;
	poll.sent_us = sent_us;
	poll.n_kinds = gn_worker_tasks_list_kinds(agent->tasks, kinds,
						  GN_BATCH_KINDS_MAX);
	poll.kinds = (char **)kinds;
	fill_free_resources(agent, &poll);
	envelope.body_case = GN__ENVELOPE__BODY_TASK_POLL;
	envelope.task_poll = &poll;
	agent_link_send(link, &envelope);
out:
	talloc_free(scratch);
}

void agent_tasks_send_polls(agent_t *agent)
{
	uint64_t now_us = gn_runtime_now_us(agent->runtime);
	uint64_t interval_us = (uint64_t)POLL_INTERVAL_MS * GN_US_PER_MS;
	uint64_t sent_us = 0;

	for (size_t i = 0; i < agent->link_count; i++) {
		agent_link_t *link = &agent->links[i];

		if (!link->link || !link->entry_incarnation ||
		    (!agent->poll_soon && now_us - link->poll_us < interval_us))
			continue;
		if (!sent_us)
			sent_us = gn_worker_tasks_begin_poll(agent->tasks);
		if (!sent_us)
			return;
		link->poll_us = now_us;
		send_poll(agent, link, sent_us);
	}
	agent->poll_soon = false;
}

void agent_on_task_orders(agent_link_t *link, const Gn__TaskOrders *message)
{
	agent_t *agent = link->agent;

	for (size_t i = 0; i < message->n_buckets; i++) {
		const Gn__BucketOrders *bucket = message->buckets[i];
		TALLOC_CTX *scratch = talloc_new(NULL);
		gn_batch_orders_t orders;

		if (gn_task_wire_decode_orders(scratch, bucket, &orders) ||
		    gn_worker_tasks_on_orders(
			    agent->tasks, bucket->bucket, bucket->owner_epoch,
			    message->sent_us, orders.orders, orders.count))
			gn_counter_inc(agent->counters.stale_orders);
		talloc_free(scratch);
	}
	agent_tasks_send_action(agent);
}
