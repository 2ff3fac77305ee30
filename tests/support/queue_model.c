#include "support/queue_model.h"

#include <math.h>
#include <stdio.h>

#define SERVICE GN_STR("service")
/**
 * Divisor of the delay between data centres that gives the delay within one.
 */
#define LOCAL_DELAY_DIVISOR 20
#define FAIL_TIME_US 1000
#define SLOW_FACTOR 10
#define FLAP_US (3 * (uint64_t)GN_US_PER_S)
#define TICK_US 50000
#define LOAD_SAMPLE_US 10000
#define TIME_WEIGHT 0.1

typedef struct request_s {
	unsigned entry;
	unsigned worker;
	uint64_t start_us;
	uint64_t sent_us;
	uint64_t arrived_us; /**< Time of arrival at the worker. */
	bool measured;
	gn_retry_t retry;
	gn_limit_result_t verdict;
	gn_attempt_result_t end;
} request_t;

typedef struct worker_s {
	/** Requests at the worker, including the waiting ones. */
	unsigned running;
	unsigned busy; /**< Number of cores in use. */
	GQueue waiting;
	double time_us; /**< Smoothed response time of a request. */
} worker_t;

typedef struct entry_s {
	gn_route_view_t *view;
	gn_eject_t *eject;
	gn_limit_t *limit;
	gn_retry_budget_t *budget;
	gn_route_worker_t *workers[MODEL_WORKERS_MAX];
} entry_t;

typedef struct model_s model_t;

typedef struct event_s {
	uint64_t at_us;
	uint64_t sequence;
	void (*run)(model_t *model, struct event_s *event);
	request_t *request;
	unsigned worker;
	gn_route_report_t report;
} event_t;

struct model_s {
	const model_config_t *config;
	model_result_t *result;
	gn_clock_t clock;
	GRand *rand;
	TALLOC_CTX *memory;
	GSequence *events;
	uint64_t sequence;
	uint64_t measure_us;
	uint64_t end_us;
	worker_t workers[MODEL_WORKERS_MAX];
	entry_t entries[MODEL_ENTRIES_MAX];
	GArray *times;
	GArray *refusal_times;
	double spread_sum;
	unsigned spread_count;
};

/* ======   Events   ====== */

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *first = a;
	const event_t *second = b;

	(void)data;
	if (first->at_us != second->at_us)
		return first->at_us < second->at_us ? -1 : 1;
	return first->sequence < second->sequence ? -1 : 1;
}

static event_t *add_event(model_t *model, uint64_t delay_us,
			  void (*run)(model_t *, event_t *))
{
	event_t *event = g_slice_new0(event_t);

	event->at_us = gn_clock_now_us(&model->clock) + delay_us;
	event->sequence = model->sequence++;
	event->run = run;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
	return event;
}

static uint64_t draw_exponential(model_t *model, double mean_us)
{
	return (uint64_t)(-log(1 - g_rand_double(model->rand)) * mean_us);
}

#define LAST_CENTRE(model) ((model)->config->data_centres - 1)

static uint32_t one_way_us(const model_t *model, unsigned entry,
			   unsigned worker)
{
	unsigned there = worker % model->config->data_centres;
	uint32_t far_us = model->config->one_way_us;

	if (entry != there && there == LAST_CENTRE(model) &&
	    model->config->last_one_way_us)
		return model->config->last_one_way_us;
	return entry == there ? far_us / LOCAL_DELAY_DIVISOR : far_us;
}

/* ======   Workers   ====== */

static void on_answer(model_t *model, event_t *event);
static void on_service_end(model_t *model, event_t *event);

static model_fault_t fault_of(const model_t *model, unsigned worker)
{
	uint64_t now_us = gn_clock_now_us(&model->clock);

	if (worker >= model->config->faulty)
		return MODEL_HEALTHY;
	if (model->config->fault != MODEL_FLAPS)
		return model->config->fault;
	return now_us / FLAP_US % 2 ? MODEL_HEALTHY : MODEL_FAILS_FAST;
}

static void send_answer(model_t *model, request_t *request,
			gn_attempt_result_t end, uint64_t delay_us)
{
	event_t *event;

	delay_us += one_way_us(model, request->entry, request->worker);
	event = add_event(model, delay_us, on_answer);
	event->request = request;
	event->worker = request->worker;
	event->report = (gn_route_report_t){
		.running_requests = model->workers[request->worker].running,
		.service_time_us =
			(uint32_t)model->workers[request->worker].time_us,
		.backend_up = true,
	};
	request->end = end;
}

static void start_service(model_t *model, request_t *request)
{
	double mean_us = model->config->service_us;
	event_t *event;

	if (fault_of(model, request->worker) == MODEL_SLOW)
		mean_us *= SLOW_FACTOR;
	event = add_event(model, draw_exponential(model, mean_us),
			  on_service_end);
	event->request = request;
	model->workers[request->worker].busy++;
}

static void on_request(model_t *model, event_t *event)
{
	request_t *request = event->request;
	worker_t *worker = &model->workers[request->worker];
	model_fault_t fault = fault_of(model, request->worker);

	request->arrived_us = gn_clock_now_us(&model->clock);
	if (fault == MODEL_FAILS_FAST) {
		send_answer(model, request, GN_ATTEMPT_FAILED, FAIL_TIME_US);
		return;
	}
	if (fault == MODEL_REFUSES ||
	    worker->running >= model->config->connections) {
		send_answer(model, request, GN_ATTEMPT_NOT_RUN, 0);
		return;
	}
	worker->running++;
	if (worker->busy < model->config->cores)
		start_service(model, request);
	else
		g_queue_push_tail(&worker->waiting, request);
}

static void on_service_end(model_t *model, event_t *event)
{
	request_t *request = event->request;
	worker_t *worker = &model->workers[request->worker];
	uint64_t time_us = gn_clock_now_us(&model->clock) - request->arrived_us;

	worker->running--;
	worker->busy--;
	worker->time_us += ((double)time_us - worker->time_us) * TIME_WEIGHT;
	if (!g_queue_is_empty(&worker->waiting))
		start_service(model, g_queue_pop_head(&worker->waiting));
	send_answer(model, request, GN_ATTEMPT_SUCCEEDED, 0);
}

static void on_report(model_t *model, event_t *event)
{
	event->report.received_us = gn_clock_now_us(&model->clock);
	for (unsigned i = 0; i < model->config->entries; i++)
		gn_route_view_report(model->entries[i].view,
				     model->entries[i].workers[event->worker],
				     &event->report);
}

static void on_report_due(model_t *model, event_t *event)
{
	const worker_t *worker = &model->workers[event->worker];
	event_t *report =
		add_event(model, model->config->report_delay_us, on_report);
	event_t *next = add_event(model, model->config->report_interval_us,
				  on_report_due);

	report->worker = event->worker;
	report->report = (gn_route_report_t){
		.running_requests = worker->running,
		.service_time_us = (uint32_t)worker->time_us,
		.backend_up = true,
	};
	next->worker = event->worker;
}

/* ======   Entries   ====== */

static uint64_t elapsed_us(const model_t *model, const request_t *request)
{
	return gn_clock_now_us(&model->clock) - request->start_us;
}

static uint64_t time_left_us(const model_t *model, const request_t *request)
{
	uint64_t time_us = elapsed_us(model, request);

	return model->config->deadline_us -
	       MIN(time_us, model->config->deadline_us);
}

static void count_success(model_t *model, uint32_t time_us)
{
	model->result->succeeded++;
	model->result->in_time += time_us <= model->config->deadline_us;
	g_array_append_val(model->times, time_us);
}

/**
 * Ends the request: releases its admission, counts its outcome and frees it.
 */
static void finish_request(model_t *model, request_t *request, bool passed)
{
	entry_t *entry = &model->entries[request->entry];
	uint32_t time_us = (uint32_t)elapsed_us(model, request);
	gn_outcome_t outcome = gn_retry_outcome(&request->retry);

	if (model->config->use_limit && request->verdict.ticket.team)
		gn_limit_release(entry->limit, &request->verdict.ticket,
				 outcome == GN_OUTCOME_NOT_RUN
					 ? GN_LIMIT_REFUSED
					 : GN_LIMIT_ANSWERED);
	if (request->measured && passed) {
		count_success(model, time_us);
	} else if (request->measured && outcome == GN_OUTCOME_NOT_RUN) {
		model->result->not_run++;
		g_array_append_val(model->refusal_times, time_us);
	} else if (request->measured) {
		model->result->failed++;
	}
	g_slice_free(request_t, request);
}

static void dispatch(model_t *model, request_t *request,
		     gn_route_worker_t *worker)
{
	entry_t *entry = &model->entries[request->entry];
	unsigned index = 0;
	event_t *event;

	while (entry->workers[index] != worker)
		index++;
	request->worker = index;
	request->sent_us = gn_clock_now_us(&model->clock);
	model->result->attempts += request->measured;
	gn_retry_begin_attempt(&request->retry, worker);
	gn_route_view_begin_dispatch(entry->view, worker);
	event = add_event(model, one_way_us(model, request->entry, index),
			  on_request);
	event->request = request;
}

static gn_code_t pick_worker(model_t *model, request_t *request,
			     gn_route_choice_t *choice)
{
	return gn_route_pick(&gn_route_policies[model->config->policy],
			     model->entries[request->entry].view, SERVICE,
			     model->rand, &request->retry.tried, choice);
}

static bool is_admitted(model_t *model, request_t *request,
			const gn_route_choice_t *choice)
{
	gn_limit_request_t asked = { GN_CLASS_QUICK, GN_STR("team"),
				     model->config->deadline_us,
				     choice->response_us,
				     choice->idle_response_us };

	if (!model->config->use_limit)
		return true;
	gn_limit_acquire(model->entries[request->entry].limit, &asked,
			 &request->verdict);
	return request->verdict.reason == GN_LIMIT_ADMITTED;
}

static void on_arrival(model_t *model, event_t *event)
{
	const model_config_t *config = model->config;
	double rate = (double)config->workers * config->cores /
		      config->service_us * config->load_pct / 100;
	request_t *request = g_slice_new0(request_t);
	gn_route_choice_t choice;

	(void)event;
	add_event(model, draw_exponential(model, 1 / rate), on_arrival);
	request->entry = (unsigned)g_rand_int_range(model->rand, 0,
						    (gint32)config->entries);
	request->start_us = gn_clock_now_us(&model->clock);
	request->measured = request->start_us >= model->measure_us;
	model->result->requests += request->measured;
	gn_retry_init(&request->retry, g_rand_int_range(model->rand, 0, 100) <
					       (gint32)config->repeatable_pct);
	if (pick_worker(model, request, &choice) != GN_OK ||
	    !is_admitted(model, request, &choice)) {
		finish_request(model, request, false);
		return;
	}
	dispatch(model, request, choice.worker);
}

static void record_result(model_t *model, request_t *request)
{
	static const gn_eject_result_t results[GN_ATTEMPT_RESULT_COUNT] = {
		[GN_ATTEMPT_SUCCEEDED] = GN_EJECT_SUCCESS,
		[GN_ATTEMPT_FAILED] = GN_EJECT_FAILURE,
		[GN_ATTEMPT_NOT_RUN] = GN_EJECT_REFUSED,
		[GN_ATTEMPT_UNKNOWN] = GN_EJECT_FAILURE,
	};
	entry_t *entry = &model->entries[request->entry];
	gn_route_worker_t *worker = entry->workers[request->worker];

	if (model->config->use_eject)
		gn_eject_record_result(
			entry->eject, worker, results[request->end],
			gn_clock_now_us(&model->clock) - request->sent_us);
	gn_route_view_end_dispatch(entry->view, worker);
	if (request->end == GN_ATTEMPT_NOT_RUN &&
	    fault_of(model, request->worker) != MODEL_REFUSES)
		gn_route_view_note_full(entry->view, worker);
}

static void on_answer(model_t *model, event_t *event)
{
	request_t *request = event->request;
	entry_t *entry = &model->entries[request->entry];
	gn_route_choice_t choice;
	gn_retry_decision_t decision;

	record_result(model, request);
	if (model->config->piggyback) {
		event->report.received_us = gn_clock_now_us(&model->clock);
		gn_route_view_report(entry->view, entry->workers[event->worker],
				     &event->report);
	}
	decision = gn_retry_end_attempt(
		&request->retry, entry->budget, request->end,
		time_left_us(model, request), model->config->service_us);
	if (model->config->use_retry && decision == GN_RETRY_AGAIN &&
	    pick_worker(model, request, &choice) == GN_OK)
		dispatch(model, request, choice.worker);
	else
		finish_request(model, request,
			       request->end == GN_ATTEMPT_SUCCEEDED);
}

static void on_tick(model_t *model, event_t *event)
{
	(void)event;
	for (unsigned i = 0; i < model->config->entries; i++)
		gn_eject_tick(model->entries[i].eject);
	add_event(model, TICK_US, on_tick);
}

/* ======   Measuring   ====== */

static void on_load_sample(model_t *model, event_t *event)
{
	unsigned count = model->config->workers;
	double sum = 0;
	double squares = 0;

	(void)event;
	add_event(model, LOAD_SAMPLE_US, on_load_sample);
	for (unsigned i = 0; i < count; i++) {
		double running = model->workers[i].running;

		sum += running;
		squares += running * running;
	}
	if (gn_clock_now_us(&model->clock) < model->measure_us || sum <= 0)
		return;
	model->spread_sum +=
		sqrt(MAX(squares / count - sum * sum / count / count, 0)) /
		(sum / count);
	model->spread_count++;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	guint32 first = *(const guint32 *)a;
	guint32 second = *(const guint32 *)b;

	return first < second ? -1 : first > second;
}

static uint32_t quantile(const GArray *sorted, double share)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, uint32_t,
			     (guint)((sorted->len - 1) * share));
}

static void count_ejected(model_t *model)
{
	for (unsigned i = 0; i < model->config->workers; i++) {
		gn_route_info_t info;

		gn_route_worker_info(model->entries[0].workers[i], &info);
		if (info.health == GN_ROUTE_PASSING)
			continue;
		if (i < model->config->faulty)
			model->result->faulty_ejected++;
		else
			model->result->healthy_ejected++;
	}
}

static void finish_result(model_t *model)
{
	model_result_t *result = model->result;

	g_array_sort(model->times, compare_times);
	g_array_sort(model->refusal_times, compare_times);
	result->p50_us = quantile(model->times, 0.50);
	result->p99_us = quantile(model->times, 0.99);
	result->p999_us = quantile(model->times, 0.999);
	result->refusal_p99_us = quantile(model->refusal_times, 0.99);
	if (model->spread_count)
		result->spread = model->spread_sum / model->spread_count;
	count_ejected(model);
}

/* ======   Setup and run   ====== */

static gn_str_t centre_name(char *name, size_t size, unsigned index)
{
	snprintf(name, size, "dc-%u", index);
	return gn_str_from(name);
}

static void create_entry(model_t *model, unsigned index)
{
	entry_t *entry = &model->entries[index];
	gn_eject_config_t eject = gn_eject_defaults();
	gn_limit_config_t limit = gn_limit_defaults();
	gn_retry_config_t retry = gn_retry_defaults();
	char centre[32];

	entry->view = gn_route_view_create(
		model->memory, &model->clock,
		centre_name(centre, sizeof(centre), index));
	entry->eject = gn_eject_create(entry->view, entry->view, &model->clock,
				       model->rand, &eject);
	entry->limit = gn_limit_create(entry->view, &model->clock, model->rand,
				       &limit);
	entry->budget = gn_retry_budget_create(entry->view, &retry);
	for (unsigned i = 0; i < model->config->workers; i++) {
		char name[32];
		gn_route_spec_t spec = {
			.name = gn_str_from(name),
			.service = SERVICE,
			.data_centre =
				centre_name(centre, sizeof(centre),
					    i % model->config->data_centres),
			.max_connections = model->config->connections,
			.cores = model->config->cores,
			.one_way_us = one_way_us(model, index, i),
		};

		snprintf(name, sizeof(name), "worker-%u", i);
		spec.name = gn_str_from(name);
		if (model->config->unaware)
			spec.one_way_us =
				MIN(spec.one_way_us, model->config->one_way_us);
		gn_route_view_put(entry->view, &spec, &entry->workers[i]);
	}
}

static void create_model(model_t *model)
{
	const model_config_t *config = model->config;

	gn_clock_init_paused(&model->clock, GN_US_PER_S);
	model->rand = g_rand_new_with_seed(config->seed);
	model->memory = talloc_new(NULL);
	model->events = g_sequence_new(NULL);
	model->times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->refusal_times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->measure_us = GN_US_PER_S + config->warm_up_us;
	model->end_us = model->measure_us + config->length_us;
	for (unsigned i = 0; i < config->entries; i++)
		create_entry(model, i);
	for (unsigned i = 0; i < config->workers; i++) {
		model->workers[i].time_us = config->service_us;
		/*
		 * Staggered over the interval, as the reports of real workers
		 * are.
		 */
		add_event(model,
			  (uint64_t)config->report_interval_us * i /
				  config->workers,
			  on_report_due)
			->worker = i;
	}
	add_event(model, 0, on_arrival);
	add_event(model, 0, on_tick);
	add_event(model, 0, on_load_sample);
}

static void free_model(model_t *model)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(model->events);

	while (!g_sequence_iter_is_end(iter)) {
		event_t *event = g_sequence_get(iter);

		if (event->request)
			g_slice_free(request_t, event->request);
		g_slice_free(event_t, event);
		iter = g_sequence_iter_next(iter);
	}
	for (unsigned i = 0; i < model->config->workers; i++)
		while (!g_queue_is_empty(&model->workers[i].waiting))
			g_slice_free(
				request_t,
				g_queue_pop_head(&model->workers[i].waiting));
	g_sequence_free(model->events);
	g_array_free(model->times, TRUE);
	g_array_free(model->refusal_times, TRUE);
	g_rand_free(model->rand);
	talloc_free(model->memory);
}

void model_run(const model_config_t *config, model_result_t *result)
{
	model_t model = { .config = config, .result = result };

	*result = (model_result_t){ 0 };
	create_model(&model);
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(model.events);
		event_t *event = g_sequence_get(first);

		if (event->at_us > model.end_us)
			break;
		g_sequence_remove(first);
		gn_clock_advance(&model.clock,
				 event->at_us - gn_clock_now_us(&model.clock));
		event->run(&model, event);
		g_slice_free(event_t, event);
	}
	finish_result(&model);
	free_model(&model);
}
