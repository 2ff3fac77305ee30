#include "batch/bucket_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

#define STEP "bucket"
/** New tasks are refused above this size; stored tasks may still grow. */
#define SUBMIT_SIZE_MAX (GN_BATCH_VALUE_MAX / 10 * 8)

/* ======   Creation   ====== */

static void free_worker(gpointer data)
{
	gn_bucket_worker_t *worker = data;

	g_hash_table_destroy(worker->held);
	g_free(worker);
}

static int destroy_bucket(gn_batch_bucket_t *bucket)
{
	g_hash_table_destroy(bucket->tasks);
	g_hash_table_destroy(bucket->keys);
	g_hash_table_destroy(bucket->workers);
	g_hash_table_destroy(bucket->evictions);
	g_hash_table_destroy(bucket->ready_workers);
	return 0;
}

static void index_task(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	g_hash_table_insert(bucket->tasks, &task->id, task);
	if (task->key[0])
		g_hash_table_insert(bucket->keys,
				    gn_bucket_make_key(gn_str_from(task->team),
						       gn_str_from(task->key)),
				    task);
}

static gn_code_t add_predecessor(gn_batch_bucket_t *bucket, uint64_t owner)
{
	uint64_t acked;

	if (!owner || owner == bucket->owner)
		return GN_OK;
	acked = bucket->gate.ops->acked(bucket->gate.context, owner);
	if (GN_MUTANT(forget_predecessor))
		bucket->predecessor_count = 0;
	for (size_t i = 0; i < bucket->predecessor_count; i++) {
		if (bucket->predecessors[i].incarnation == owner) {
			bucket->predecessors[i].acked = acked;
			return GN_OK;
		}
	}
	if (bucket->predecessor_count == GN_BATCH_PREDECESSORS_MAX)
		return GN_ERR_CAPACITY;
	bucket->predecessors[bucket->predecessor_count++] =
		(gn_batch_predecessor_t){ owner, acked };
	return GN_OK;
}

static bool may_take_over(const gn_batch_bucket_t *bucket,
			  const gn_batch_value_t *value)
{
	if (!value->owner || value->owner == bucket->owner)
		return true;
	return bucket->gate.ops->has_left(bucket->gate.context, value->owner,
					  value->owner_revision);
}

static gn_code_t adopt_value(gn_batch_bucket_t *bucket, gn_str_t bytes,
			     gn_error_t *error)
{
	gn_batch_value_t *value;
	gn_code_t code = gn_batch_codec_decode(
		bucket, bytes, gn_clock_now_us(bucket->clock), &value, error);

	if (code)
		return code;
	if (value->bucket != bucket->index)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "value belongs to bucket %u",
				    value->bucket);
	if (!may_take_over(bucket, value)) {
		talloc_free(value);
		return gn_error_set(error, GN_ERR_UNAVAILABLE, STEP, NULL,
				    "bucket is owned by another entry");
	}
	bucket->owner_epoch = value->owner_epoch;
	bucket->next_serial = value->next_serial;
	bucket->predecessor_count = value->predecessor_count;
	memcpy(bucket->predecessors, value->predecessors,
	       sizeof(bucket->predecessors));
	for (size_t i = 0; i < value->task_count; i++) {
		gn_task_t *task = talloc_steal(bucket, value->tasks[i]);

		index_task(bucket, task);
		gn_bucket_enter_state(bucket, task);
		if (gn_task_state_is_final(task->state))
			task->since_us = value->tasks[i]->since_us;
	}
	bucket->value_size = bytes.len;
	code = add_predecessor(bucket, value->owner);
	talloc_free(value);
	if (code)
		gn_error_set(error, code, STEP, NULL,
			     "bucket has more than %d unsettled owners",
			     GN_BATCH_PREDECESSORS_MAX);
	return code;
}

static gn_batch_bucket_t *allocate_bucket(TALLOC_CTX *parent,
					  const gn_batch_params_t *params,
					  const gn_clock_t *clock, GRand *rand)
{
	gn_batch_bucket_t *bucket = talloc_zero(parent, gn_batch_bucket_t);

	if (!bucket)
		return NULL;
	bucket->queue =
		gn_task_queue_create(bucket, &params->queue, clock, rand);
	if (!bucket->queue) {
		talloc_free(bucket);
		return NULL;
	}
	bucket->tasks = g_hash_table_new(g_int64_hash, g_int64_equal);
	bucket->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bucket->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_worker);
	bucket->evictions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	bucket->ready_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(bucket, destroy_bucket);
	bucket->params = *params;
	bucket->clock = clock;
	bucket->rand = rand;
	return bucket;
}

gn_code_t gn_batch_bucket_create(TALLOC_CTX *parent, unsigned index,
				 uint64_t owner, gn_str_t value,
				 uint64_t revision,
				 const gn_batch_params_t *params,
				 gn_batch_gate_t gate, const gn_clock_t *clock,
				 GRand *rand, gn_batch_bucket_t **bucket,
				 gn_error_t *error)
{
	gn_batch_bucket_t *made = allocate_bucket(parent, params, clock, rand);
	gn_code_t code = GN_OK;

	assert(owner);
	assert(params->promise_us >= GN_US_PER_S);
	if (!made)
		return gn_error_set(error, GN_ERR_MEMORY, STEP, NULL,
				    "cannot allocate the bucket");
	made->index = index;
	made->owner = owner;
	made->gate = gate;
	made->revision = revision;
	made->ownership = GN_BATCH_TAKING;
	made->next_serial = 1;
	if (value.len)
		code = adopt_value(made, value, error);
	if (code) {
		talloc_free(made);
		return code;
	}
	made->owner_epoch++;
	made->owner_revision = gate.ops->revision(gate.context);
	made->seq = 1;
	*bucket = made;
	return GN_OK;
}

/* ======   Commands   ====== */

static bool is_same_request(const gn_task_t *task,
			    const gn_task_request_t *request)
{
	return task->work_class == request->work_class &&
	       gn_str_equal(gn_str_from(task->kind), request->kind) &&
	       gn_str_equal(gn_str_from(task->service), request->service) &&
	       gn_str_equal(task->spec, request->spec);
}

static gn_task_t *find_by_key(gn_batch_bucket_t *bucket,
			      const gn_task_request_t *request)
{
	gn_task_t *task;
	char *key;

	if (!request->key.len)
		return NULL;
	key = gn_bucket_make_key(request->team, request->key);
	task = g_hash_table_lookup(bucket->keys, key);
	g_free(key);
	return task;
}

static gn_task_reason_t check_request_fits(gn_batch_bucket_t *bucket,
					   const gn_task_request_t *request)
{
	char service[GN_NAME_MAX + 1];
	gn_code_t code =
		gn_str_copy(service, sizeof(service), request->service);

	assert(!code);
	(void)code;
	return gn_task_queue_check_fits(bucket->queue, service, request->cores,
					request->memory_mb,
					request->accelerators);
}

static gn_code_t add_task(gn_batch_bucket_t *bucket,
			  const gn_task_request_t *request, uint64_t *id,
			  uint64_t *seq)
{
	gn_task_t *task;
	size_t size;

	task = gn_task_create(
		bucket, gn_task_id_make(bucket->index, bucket->next_serial),
		request, gn_clock_now_us(bucket->clock));
	if (!task)
		return GN_ERR_MEMORY;
	size = gn_batch_codec_task_size(task);
	if (bucket->value_size + size > SUBMIT_SIZE_MAX ||
	    g_hash_table_size(bucket->tasks) >= GN_BATCH_TASKS_MAX) {
		talloc_free(task);
		return GN_ERR_RATE;
	}
	bucket->value_size += size;
	bucket->next_serial++;
	index_task(bucket, task);
	gn_bucket_enter_state(bucket, task);
	gn_bucket_mark_changed(bucket, task);
	*id = task->id;
	*seq = task->changed_seq;
	return GN_OK;
}

gn_code_t gn_batch_bucket_submit(gn_batch_bucket_t *bucket,
				 const gn_task_request_t *request, uint64_t *id,
				 uint64_t *seq, gn_task_reason_t *reason)
{
	gn_task_t *existing;

	*reason = GN_TASK_REASON_NONE;
	if (gn_task_request_check(request))
		return GN_ERR_RANGE;
	if (bucket->ownership != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	existing = find_by_key(bucket, request);
	if (existing && !is_same_request(existing, request))
		return GN_ERR_CONFLICT;
	if (existing) {
		*id = existing->id;
		*seq = existing->changed_seq;
		return GN_OK;
	}
	*reason = check_request_fits(bucket, request);
	if (*reason)
		return GN_ERR_CAPACITY;
	return add_task(bucket, request, id, seq);
}

/** Whether no start of @p task can ever have been ordered. */
static bool is_never_started(const gn_task_t *task)
{
	return task->claim == 0 || (task->claim == 1 && !task->ordered);
}

static gn_outcome_t cancel_task(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	if (task->state == GN_TASK_DONE)
		return GN_OUTCOME_DONE;
	if (!gn_task_state_is_final(task->state)) {
		bool not_run = is_never_started(task);

		gn_bucket_set_state(bucket, task, GN_TASK_CANCELLED);
		task->not_run = not_run;
		gn_bucket_mark_changed(bucket, task);
		bucket->stats.cancels++;
	}
	return task->not_run ? GN_OUTCOME_NOT_RUN : GN_OUTCOME_UNKNOWN;
}

gn_code_t gn_batch_bucket_cancel(gn_batch_bucket_t *bucket, uint64_t id,
				 gn_outcome_t *outcome, uint64_t *seq)
{
	gn_task_t *task = g_hash_table_lookup(bucket->tasks, &id);

	if (bucket->ownership != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	if (!task)
		return GN_ERR_NOT_FOUND;
	*outcome = cancel_task(bucket, task);
	*seq = task->changed_seq;
	return GN_OK;
}

gn_code_t gn_batch_bucket_cancel_matching(gn_batch_bucket_t *bucket,
					  gn_str_t team, gn_str_t kind,
					  size_t *count, uint64_t *seq)
{
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	if (bucket->ownership != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (gn_task_state_is_final(task->state) ||
		    !gn_str_equal(gn_str_from(task->team), team))
			continue;
		if (kind.len && !gn_str_equal(gn_str_from(task->kind), kind))
			continue;
		cancel_task(bucket, task);
		(*count)++;
	}
	*seq = bucket->seq;
	return GN_OK;
}

gn_code_t gn_batch_bucket_evict(gn_batch_bucket_t *bucket, uint64_t id)
{
	const gn_task_t *task = g_hash_table_lookup(bucket->tasks, &id);

	if (bucket->ownership != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	if (!task || !gn_task_state_is_held(task->state))
		return GN_ERR_NOT_FOUND;
	g_hash_table_add(bucket->evictions,
			 g_memdup2(&task->id, sizeof(task->id)));
	return GN_OK;
}

void gn_batch_bucket_release(gn_batch_bucket_t *bucket)
{
	if (bucket->ownership != GN_BATCH_OWNED &&
	    bucket->ownership != GN_BATCH_TAKING)
		return;
	bucket->ownership = GN_BATCH_RELEASING;
	bucket->seq++;
}

void gn_batch_bucket_keep(gn_batch_bucket_t *bucket)
{
	const gn_bucket_write_t *write = &bucket->write;

	if (bucket->ownership != GN_BATCH_RELEASING ||
	    (write->active && write->ownership == GN_BATCH_RELEASING))
		return;
	bucket->ownership = bucket->taken_us ? GN_BATCH_OWNED : GN_BATCH_TAKING;
}

/* ======   Queries   ====== */

gn_batch_ownership_t
gn_batch_bucket_get_ownership(const gn_batch_bucket_t *bucket)
{
	return bucket->ownership;
}

uint64_t gn_batch_bucket_taken_us(const gn_batch_bucket_t *bucket)
{
	return bucket->taken_us;
}

uint32_t gn_batch_bucket_epoch(const gn_batch_bucket_t *bucket)
{
	return bucket->owner_epoch;
}

bool gn_batch_bucket_is_durable(const gn_batch_bucket_t *bucket, uint64_t seq)
{
	return seq <= bucket->durable_seq || GN_MUTANT(tell_before_durable);
}

const gn_task_t *gn_batch_bucket_find(const gn_batch_bucket_t *bucket,
				      uint64_t id)
{
	return g_hash_table_lookup(bucket->tasks, &id);
}

bool gn_batch_bucket_task_is_durable(const gn_batch_bucket_t *bucket,
				     const gn_task_t *task)
{
	return gn_batch_bucket_is_durable(bucket, task->changed_seq);
}

void gn_batch_bucket_foreach(const gn_batch_bucket_t *bucket,
			     void (*visit)(const gn_task_t *task, void *data),
			     void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, data);
}

size_t gn_batch_bucket_task_count(const gn_batch_bucket_t *bucket)
{
	return g_hash_table_size(bucket->tasks);
}

size_t gn_batch_bucket_list_unsettled(const gn_batch_bucket_t *bucket,
				      gn_batch_predecessor_t *to, size_t size)
{
	size_t count = MIN(size, bucket->predecessor_count);

	memcpy(to, bucket->predecessors, count * sizeof(*to));
	return bucket->predecessor_count;
}

const gn_batch_stats_t *gn_batch_bucket_stats(const gn_batch_bucket_t *bucket)
{
	return &bucket->stats;
}

gn_task_queue_t *gn_batch_bucket_queue(gn_batch_bucket_t *bucket)
{
	return bucket->queue;
}
