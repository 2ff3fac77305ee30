#include "batch/bucket_internal.h"

#include <assert.h>
#include <string.h>

#include "common/str.h"

#define STEP "bucket"
/** New tasks are refused above this; the rest is for growth of the others. */
#define SUBMIT_SIZE_MAX (GN_BATCH_VALUE_MAX / 10 * 8)

/* ======   State   ====== */

void gn_bucket_touch(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	task->changed_seq = ++bucket->seq;
}

static void free_worker(gpointer data)
{
	gn_bucket_worker_t *worker = data;

	g_hash_table_destroy(worker->held);
	g_free(worker);
}

gn_bucket_worker_t *gn_bucket_worker(gn_batch_bucket_t *bucket,
				     const char *name)
{
	gn_bucket_worker_t *worker = g_hash_table_lookup(bucket->workers, name);

	if (worker)
		return worker;
	worker = g_new0(gn_bucket_worker_t, 1);
	worker->held = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(bucket->workers, g_strdup(name), worker);
	return worker;
}

static void leave_state(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	if (gn_task_state_is_waiting(task->state))
		gn_batch_order_remove(bucket->order, task);
	if (gn_task_state_is_held(task->state)) {
		g_hash_table_remove(
			gn_bucket_worker(bucket, task->worker)->held, task);
		gn_batch_order_return_quota(bucket->order, task);
		g_hash_table_remove(bucket->evictions, &task->id);
	}
}

static void enter_state(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	if (gn_task_state_is_waiting(task->state)) {
		gn_code_t code = gn_batch_order_add(bucket->order, task);

		g_assert(!code);
	}
	if (gn_task_state_is_held(task->state)) {
		g_hash_table_add(gn_bucket_worker(bucket, task->worker)->held,
				 task);
		gn_batch_order_use_quota(bucket->order, task);
	}
	if (gn_task_state_is_final(task->state))
		task->since_us = gn_clock_now_us(bucket->clock);
}

void gn_bucket_set_state(gn_batch_bucket_t *bucket, gn_task_t *task,
			 gn_task_state_t state)
{
	leave_state(bucket, task);
	task->state = state;
	enter_state(bucket, task);
	gn_task_assert(task);
}

void gn_bucket_requeue(gn_batch_bucket_t *bucket, gn_task_t *task,
		       uint64_t not_before_us)
{
	task->not_before_us = not_before_us;
	gn_bucket_set_state(bucket, task,
			    task->checkpoint[0] ? GN_TASK_CHECKPOINTED
						: GN_TASK_QUEUED);
	gn_bucket_touch(bucket, task);
}

static void park(gn_batch_bucket_t *bucket, gn_task_t *task,
		 gn_task_reason_t reason)
{
	task->reason = reason;
	gn_bucket_set_state(bucket, task, GN_TASK_PARKED);
	gn_bucket_touch(bucket, task);
	bucket->stats.parked++;
}

void gn_bucket_fail(gn_batch_bucket_t *bucket, gn_task_t *task,
		    const char *worker)
{
	gn_code_t code = gn_task_add_failed_worker(task, worker);

	g_assert(!code);
	task->attempts++;
	bucket->stats.failures++;
	if (task->failed_worker_count == GN_TASK_FAILED_WORKERS_MAX)
		park(bucket, task, GN_TASK_REASON_FAILED_WORKERS);
	else if (task->attempts >= GN_TASK_ATTEMPTS_MAX)
		park(bucket, task, GN_TASK_REASON_ATTEMPTS);
	else
		gn_bucket_requeue(bucket, task,
				  gn_batch_order_retry_at_us(bucket->order,
							     task->attempts));
}

/* ======   Creation   ====== */

static int destroy_bucket(gn_batch_bucket_t *bucket)
{
	g_hash_table_destroy(bucket->tasks);
	g_hash_table_destroy(bucket->keys);
	g_hash_table_destroy(bucket->workers);
	g_hash_table_destroy(bucket->evictions);
	g_hash_table_destroy(bucket->ready);
	return 0;
}

/** The team and its idempotency key; teams choose keys independently. */
static char *make_key(gn_str_t team, gn_str_t key)
{
	return g_strdup_printf("%.*s\n%.*s", (int)team.len, team.data,
			       (int)key.len, key.data);
}

static void index_task(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	g_hash_table_insert(bucket->tasks, &task->id, task);
	if (task->key[0])
		g_hash_table_insert(bucket->keys,
				    make_key(gn_str_from(task->team),
					     gn_str_from(task->key)),
				    task);
}

static gn_code_t note_predecessor(gn_batch_bucket_t *bucket, uint64_t owner,
				  uint64_t acked)
{
	if (!owner || owner == bucket->owner)
		return GN_OK;
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

static bool may_take(const gn_batch_bucket_t *bucket,
		     const gn_batch_value_t *value)
{
	if (!value->owner || value->owner == bucket->owner)
		return true;
	return bucket->gate.ops->has_left(bucket->gate.context, value->owner,
					  value->owner_revision);
}

static gn_code_t adopt_value(gn_batch_bucket_t *bucket, gn_str_t bytes,
			     uint64_t acked, gn_error_t *error)
{
	gn_batch_value_t *value;
	gn_code_t code = gn_batch_codec_decode(
		bucket, bytes, gn_clock_now_us(bucket->clock), &value, error);

	if (code)
		return code;
	if (value->bucket != bucket->index)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "value of bucket %u", value->bucket);
	if (!may_take(bucket, value)) {
		talloc_free(value);
		return gn_error_set(error, GN_ERR_UNAVAILABLE, STEP, NULL,
				    "owned by another entry");
	}
	bucket->owner_epoch = value->owner_epoch;
	bucket->next_serial = value->next_serial;
	bucket->predecessor_count = value->predecessor_count;
	memcpy(bucket->predecessors, value->predecessors,
	       sizeof(bucket->predecessors));
	for (size_t i = 0; i < value->task_count; i++) {
		gn_task_t *task = talloc_steal(bucket, value->tasks[i]);

		index_task(bucket, task);
		enter_state(bucket, task);
		if (gn_task_state_is_final(task->state))
			task->since_us = value->tasks[i]->since_us;
	}
	bucket->value_size = bytes.len;
	code = note_predecessor(bucket, value->owner, acked);
	talloc_free(value);
	if (code)
		gn_error_set(error, code, STEP, NULL,
			     "over %d unsettled owners",
			     GN_BATCH_PREDECESSORS_MAX);
	return code;
}

static gn_batch_bucket_t *make_bucket(TALLOC_CTX *parent,
				      const gn_batch_params_t *params,
				      const gn_clock_t *clock, GRand *rand)
{
	gn_batch_bucket_t *bucket = talloc_zero(parent, gn_batch_bucket_t);

	if (!bucket)
		return NULL;
	bucket->order =
		gn_batch_order_create(bucket, &params->order, clock, rand);
	if (!bucket->order) {
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
	bucket->ready =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(bucket, destroy_bucket);
	bucket->params = *params;
	bucket->clock = clock;
	bucket->rand = rand;
	return bucket;
}

gn_code_t gn_batch_bucket_create(TALLOC_CTX *parent, unsigned index,
				 uint64_t owner, gn_str_t value,
				 uint64_t revision, uint64_t acked,
				 const gn_batch_params_t *params,
				 gn_batch_gate_t gate, const gn_clock_t *clock,
				 GRand *rand, gn_batch_bucket_t **bucket,
				 gn_error_t *error)
{
	gn_batch_bucket_t *made = make_bucket(parent, params, clock, rand);
	gn_code_t code = GN_OK;

	assert(owner);
	assert(params->promise_us >= GN_US_PER_S);
	if (!made)
		return gn_error_set(error, GN_ERR_MEMORY, STEP, NULL, "bucket");
	made->index = index;
	made->owner = owner;
	made->gate = gate;
	made->revision = revision;
	made->standing = GN_BATCH_TAKING;
	made->next_serial = 1;
	if (value.len)
		code = adopt_value(made, value, acked, error);
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
	key = make_key(request->team, request->key);
	task = g_hash_table_lookup(bucket->keys, key);
	g_free(key);
	return task;
}

static gn_task_reason_t check_fleet(gn_batch_bucket_t *bucket,
				    const gn_task_request_t *request)
{
	char service[GN_NAME_MAX + 1];
	gn_code_t code =
		gn_str_copy(service, sizeof(service), request->service);

	assert(!code);
	(void)code;
	return gn_batch_order_check(bucket->order, service, request->cores,
				    request->memory_mb, request->accelerators);
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
	enter_state(bucket, task);
	gn_bucket_touch(bucket, task);
	*id = task->id;
	*seq = task->changed_seq;
	return GN_OK;
}

gn_code_t gn_batch_bucket_submit(gn_batch_bucket_t *bucket,
				 const gn_task_request_t *request, uint64_t *id,
				 uint64_t *seq, gn_task_reason_t *reason)
{
	gn_task_t *known;

	*reason = GN_TASK_REASON_NONE;
	if (gn_task_request_check(request))
		return GN_ERR_RANGE;
	if (bucket->standing != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	known = find_by_key(bucket, request);
	if (known && !is_same_request(known, request))
		return GN_ERR_CONFLICT;
	if (known) {
		*id = known->id;
		*seq = known->changed_seq;
		return GN_OK;
	}
	*reason = check_fleet(bucket, request);
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
		gn_bucket_touch(bucket, task);
		bucket->stats.cancels++;
	}
	return task->not_run ? GN_OUTCOME_NOT_RUN : GN_OUTCOME_UNKNOWN;
}

gn_code_t gn_batch_bucket_cancel(gn_batch_bucket_t *bucket, uint64_t id,
				 gn_outcome_t *outcome, uint64_t *seq)
{
	gn_task_t *task = g_hash_table_lookup(bucket->tasks, &id);

	if (bucket->standing != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	if (!task)
		return GN_ERR_NOT_FOUND;
	*outcome = cancel_task(bucket, task);
	*seq = task->changed_seq;
	return GN_OK;
}

gn_code_t gn_batch_bucket_cancel_wave(gn_batch_bucket_t *bucket, gn_str_t team,
				      gn_str_t kind, size_t *count,
				      uint64_t *seq)
{
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	if (bucket->standing != GN_BATCH_OWNED)
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

	if (bucket->standing != GN_BATCH_OWNED)
		return GN_ERR_UNAVAILABLE;
	if (!task || !gn_task_state_is_held(task->state))
		return GN_ERR_NOT_FOUND;
	g_hash_table_add(bucket->evictions,
			 g_memdup2(&task->id, sizeof(task->id)));
	return GN_OK;
}

void gn_batch_bucket_release(gn_batch_bucket_t *bucket)
{
	if (bucket->standing != GN_BATCH_OWNED &&
	    bucket->standing != GN_BATCH_TAKING)
		return;
	bucket->standing = GN_BATCH_RELEASING;
	bucket->seq++;
}

static void drop_task(gn_batch_bucket_t *bucket, gn_task_t *task)
{
	size_t size = gn_batch_codec_task_size(task);

	if (task->key[0]) {
		char *key = make_key(gn_str_from(task->team),
				     gn_str_from(task->key));

		g_hash_table_remove(bucket->keys, key);
		g_free(key);
	}
	bucket->value_size -= MIN(size, bucket->value_size);
	talloc_free(task);
}

void gn_bucket_prune(gn_batch_bucket_t *bucket, uint64_t age_us)
{
	uint64_t now_us = gn_clock_now_us(bucket->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gn_task_t *task = value;

		if (!gn_task_state_is_final(task->state) ||
		    task->changed_seq > bucket->durable_seq ||
		    now_us - task->since_us < age_us)
			continue;
		g_hash_table_iter_remove(&iter);
		drop_task(bucket, task);
	}
}

/* ======   Queries   ====== */

gn_batch_standing_t gn_batch_bucket_standing(const gn_batch_bucket_t *bucket)
{
	return bucket->standing;
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

size_t gn_batch_bucket_unsettled(const gn_batch_bucket_t *bucket,
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

gn_batch_order_t *gn_batch_bucket_order(gn_batch_bucket_t *bucket)
{
	return bucket->order;
}
