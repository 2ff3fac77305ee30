#include "wire/task_wire.h"

#include "common/str.h"

gn_code_t gn_task_wire_encode_runs(TALLOC_CTX *parent,
				   const gn_batch_report_t *reports,
				   size_t count, Gn__TaskPoll *poll)
{
	Gn__TaskRun *runs = talloc_array(parent, Gn__TaskRun, count);

	poll->runs = talloc_array(parent, Gn__TaskRun *, count);
	if (!runs || !poll->runs)
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < count; i++) {
		gn__task_run__init(&runs[i]);
		runs[i].task = reports[i].task;
		runs[i].epoch = reports[i].epoch;
		runs[i].state = reports[i].state;
		runs[i].result_code = reports[i].result_code;
		if (reports[i].checkpoint)
			runs[i].checkpoint = (char *)reports[i].checkpoint;
		poll->runs[i] = &runs[i];
	}
	poll->n_runs = count;
	return GN_OK;
}

gn_code_t gn_task_wire_decode_runs(TALLOC_CTX *parent, const Gn__TaskPoll *poll,
				   gn_batch_report_t **reports)
{
	if (poll->n_runs > GN_TASK_WIRE_ITEMS_MAX)
		return GN_ERR_INVALID;
	*reports = talloc_zero_array(parent, gn_batch_report_t, poll->n_runs);
	if (!*reports)
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < poll->n_runs; i++) {
		const Gn__TaskRun *run = poll->runs[i];
		gn_batch_report_t *report = &(*reports)[i];

		if (run->state >= GN_RUN_STATE_COUNT ||
		    strlen(run->checkpoint) > GN_TASK_CHECKPOINT_MAX)
			return GN_ERR_INVALID;
		report->task = run->task;
		report->epoch = run->epoch;
		report->state = (gn_run_state_t)run->state;
		report->result_code = run->result_code;
		report->checkpoint = run->checkpoint;
	}
	return GN_OK;
}

static Gn__TaskSpec *put_spec(TALLOC_CTX *parent, const gn_task_t *task)
{
	Gn__TaskSpec *spec = talloc(parent, Gn__TaskSpec);

	if (!spec)
		return NULL;
	gn__task_spec__init(spec);
	spec->work_class = task->work_class;
	spec->team = (char *)task->team;
	spec->kind = (char *)task->kind;
	spec->service = (char *)task->service;
	spec->cores = task->cores;
	spec->memory_mb = task->memory_mb;
	spec->accelerators = task->accelerators;
	spec->checkpoint = (char *)task->checkpoint;
	spec->spec.data = (uint8_t *)task->spec.data;
	spec->spec.len = task->spec.len;
	return spec;
}

gn_code_t gn_task_wire_encode_orders(TALLOC_CTX *parent,
				     const gn_batch_orders_t *orders,
				     Gn__BucketOrders *bucket)
{
	Gn__TaskOrder *items =
		talloc_array(parent, Gn__TaskOrder, orders->count);

	bucket->orders = talloc_array(parent, Gn__TaskOrder *, orders->count);
	if (!items || !bucket->orders)
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < orders->count; i++) {
		const gn_batch_order_msg_t *order = &orders->orders[i];

		gn__task_order__init(&items[i]);
		items[i].kind = order->kind;
		items[i].task = order->id;
		items[i].epoch = order->epoch;
		items[i].promise_ms =
			(uint32_t)(order->promise_us / GN_US_PER_MS);
		if (order->task) {
			items[i].spec = put_spec(parent, order->task);
			if (!items[i].spec)
				return GN_ERR_MEMORY;
		}
		bucket->orders[i] = &items[i];
	}
	bucket->n_orders = orders->count;
	return GN_OK;
}

static gn_code_t get_task(TALLOC_CTX *parent, uint64_t id,
			  const Gn__TaskSpec *spec, const gn_task_t **result)
{
	const gn_task_request_t request = {
		.work_class = (gn_class_t)spec->work_class,
		.team = gn_str_from(spec->team),
		.kind = gn_str_from(spec->kind),
		.service = gn_str_from(spec->service),
		.cores = spec->cores,
		.memory_mb = spec->memory_mb,
		.accelerators = spec->accelerators,
		.spec = { (const char *)spec->spec.data, spec->spec.len },
	};
	gn_task_t *task;

	if (gn_task_request_check(&request) ||
	    strlen(spec->checkpoint) > GN_TASK_CHECKPOINT_MAX)
		return GN_ERR_INVALID;
	task = gn_task_create(parent, id, &request, 0);
	if (!task || gn_task_set_text(task, &task->checkpoint,
				      gn_str_from(spec->checkpoint)))
		return GN_ERR_MEMORY;
	*result = task;
	return GN_OK;
}

static gn_code_t get_order(TALLOC_CTX *parent, const Gn__TaskOrder *item,
			   gn_batch_order_msg_t *order)
{
	if (item->kind >= GN_ORDER_KIND_COUNT)
		return GN_ERR_INVALID;
	order->kind = (gn_order_kind_t)item->kind;
	order->id = item->task;
	order->epoch = item->epoch;
	order->promise_us = (uint64_t)item->promise_ms * GN_US_PER_MS;
	if (order->kind != GN_ORDER_START)
		return GN_OK;
	if (!item->spec)
		return GN_ERR_INVALID;
	return get_task(parent, item->task, item->spec, &order->task);
}

gn_code_t gn_task_wire_decode_orders(TALLOC_CTX *parent,
				     const Gn__BucketOrders *bucket,
				     gn_batch_orders_t *orders)
{
	if (bucket->n_orders > GN_TASK_WIRE_ITEMS_MAX)
		return GN_ERR_INVALID;
	orders->count = bucket->n_orders;
	orders->orders = talloc_zero_array(parent, gn_batch_order_msg_t,
					   bucket->n_orders);
	if (!orders->orders)
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < bucket->n_orders; i++) {
		gn_code_t code = get_order(parent, bucket->orders[i],
					   &orders->orders[i]);

		if (code)
			return code;
	}
	return GN_OK;
}
