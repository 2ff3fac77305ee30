#include "batch/codec.h"

#include <string.h>

#include "batch/bucket.pb-c.h"
#include "common/str.h"

#define STEP "bucket-value"
/** Maximum size of a stored task's numbers, tags and lengths, bytes. */
#define TASK_FIXED_SIZE 64
/** Encoding overhead of a non-empty string, bytes. */
#define TEXT_OVERHEAD 4

static uint64_t ms_since(uint64_t since_us, uint64_t now_us)
{
	return (now_us - since_us) / GN_US_PER_MS;
}

static void store_task(Gn__Batch__StoredTask *to, const gn_task_t *task,
		       uint64_t now_us)
{
	gn__batch__stored_task__init(to);
	to->id = task->id;
	to->work_class = task->work_class;
	to->state = task->state;
	to->team = (char *)task->team;
	to->kind = (char *)task->kind;
	to->service = (char *)task->service;
	to->key = (char *)task->key;
	to->priority = task->priority;
	to->cores = task->cores;
	to->memory_mb = task->memory_mb;
	to->accelerators = task->accelerators;
	to->run_ms = task->run_ms;
	to->checkpoint_ms = task->checkpoint_ms;
	to->spec.data = (uint8_t *)task->spec.data;
	to->spec.len = task->spec.len;
	to->worker = (char *)task->worker;
	to->claim = task->claim;
	to->checkpoint = (char *)task->checkpoint;
	to->attempts = task->attempts;
	to->failed_workers = (char **)task->failed_workers;
	to->n_failed_workers = task->failed_worker_count;
	to->reason = task->reason;
	to->not_run = task->not_run;
	to->result_code = task->result_code;
	to->age_ms = ms_since(task->since_us, now_us);
	to->lapsed = task->lease_expired;
	if (task->not_before_us > now_us)
		to->backoff_ms = (uint32_t)((task->not_before_us - now_us) /
					    GN_US_PER_MS);
}

static gn_code_t pack(TALLOC_CTX *parent, const Gn__Batch__StoredBucket *stored,
		      gn_str_t *bytes)
{
	size_t size = gn__batch__stored_bucket__get_packed_size(stored);
	uint8_t *buffer;

	if (size > GN_BATCH_VALUE_MAX)
		return GN_ERR_CAPACITY;
	buffer = talloc_size(parent, size ? size : 1);
	if (!buffer)
		return GN_ERR_MEMORY;
	gn__batch__stored_bucket__pack(stored, buffer);
	*bytes = (gn_str_t){ (const char *)buffer, size };
	return GN_OK;
}

gn_code_t gn_batch_codec_encode(TALLOC_CTX *parent,
				const gn_batch_value_t *value, uint64_t now_us,
				gn_str_t *bytes)
{
	Gn__Batch__StoredBucket stored = GN__BATCH__STORED_BUCKET__INIT;
	Gn__Batch__StoredPredecessor predecessors[GN_BATCH_PREDECESSORS_MAX];
	Gn__Batch__StoredPredecessor *pointers[GN_BATCH_PREDECESSORS_MAX];
	Gn__Batch__StoredTask *tasks;
	gn_code_t code = GN_ERR_MEMORY;

	tasks = talloc_array(parent, Gn__Batch__StoredTask, value->task_count);
	stored.tasks = talloc_array(parent, Gn__Batch__StoredTask *,
				    value->task_count);
	if (!tasks || !stored.tasks)
		goto out;
	stored.version = GN_BATCH_VALUE_VERSION;
	stored.bucket = value->bucket;
	stored.owner = value->owner;
	stored.owner_epoch = value->owner_epoch;
	stored.owner_revision = value->owner_revision;
	stored.change_id = value->change_id;
	stored.next_serial = value->next_serial;
	for (size_t i = 0; i < value->predecessor_count; i++) {
		gn__batch__stored_predecessor__init(&predecessors[i]);
		predecessors[i].incarnation =
			value->predecessors[i].incarnation;
		predecessors[i].acked = value->predecessors[i].acked;
		pointers[i] = &predecessors[i];
	}
	stored.predecessors = pointers;
	stored.n_predecessors = value->predecessor_count;
	for (size_t i = 0; i < value->task_count; i++) {
		store_task(&tasks[i], value->tasks[i], now_us);
		stored.tasks[i] = &tasks[i];
	}
	stored.n_tasks = value->task_count;
	code = pack(parent, &stored, bytes);
out:
	talloc_free(stored.tasks);
	talloc_free(tasks);
	return code;
}

static bool is_text(const char *text, size_t min, size_t max)
{
	size_t len = strnlen(text, max + 1);

	return len >= min && len <= max;
}

/** Returns the name of the first invalid field of @p from, or NULL. */
static const char *find_bad_field(const Gn__Batch__StoredTask *from)
{
	if (!is_text(from->worker, 0, GN_NAME_MAX))
		return "worker";
	if (!is_text(from->checkpoint, 0, GN_TASK_CHECKPOINT_MAX))
		return "checkpoint";
	if (from->state >= GN_TASK_STATE_COUNT)
		return "state";
	if (from->reason >= GN_TASK_REASON_COUNT)
		return "reason";
	if (from->n_failed_workers > GN_TASK_FAILED_WORKERS_MAX)
		return "failed_workers";
	for (size_t i = 0; i < from->n_failed_workers; i++) {
		if (!is_text(from->failed_workers[i], 1, GN_NAME_MAX))
			return "failed_workers";
	}
	if (gn_task_state_is_held((gn_task_state_t)from->state) &&
	    (!from->claim || !from->worker[0]))
		return "claim";
	if (from->state == GN_TASK_CHECKPOINTED && !from->checkpoint[0])
		return "checkpoint";
	if (from->state == GN_TASK_PARKED && !from->reason)
		return "reason";
	if (from->not_run && from->state != GN_TASK_CANCELLED)
		return "not_run";
	if (from->backoff_ms > GN_TASK_RUN_MS_MAX ||
	    from->age_ms > UINT64_MAX / GN_US_PER_MS)
		return "age_ms";
	return NULL;
}

static void fill_request(gn_task_request_t *request,
			 const Gn__Batch__StoredTask *from)
{
	*request = (gn_task_request_t){
		.work_class = (gn_class_t)from->work_class,
		.team = gn_str_from(from->team),
		.kind = gn_str_from(from->kind),
		.service = gn_str_from(from->service),
		.key = gn_str_from(from->key),
		.priority = from->priority,
		.cores = from->cores,
		.memory_mb = from->memory_mb,
		.accelerators = from->accelerators,
		.run_ms = from->run_ms,
		.checkpoint_ms = from->checkpoint_ms,
		.spec = { (const char *)from->spec.data, from->spec.len },
	};
}

static gn_code_t fill_task(gn_task_t *task, const Gn__Batch__StoredTask *from,
			   uint64_t now_us)
{
	if (gn_task_set_text(task, &task->worker, gn_str_from(from->worker)) ||
	    gn_task_set_text(task, &task->checkpoint,
			     gn_str_from(from->checkpoint)))
		return GN_ERR_MEMORY;
	for (size_t i = 0; i < from->n_failed_workers; i++) {
		if (gn_task_add_failed_worker(task, from->failed_workers[i]))
			return GN_ERR_MEMORY;
	}
	task->state = (gn_task_state_t)from->state;
	task->claim = from->claim;
	task->attempts = from->attempts;
	task->reason = (gn_task_reason_t)from->reason;
	task->not_run = from->not_run;
	task->lease_expired = from->lapsed;
	task->result_code = from->result_code;
	/*
	 * Wraps around if this host booted after the event. Ages remain
	 * correct, since subtraction wraps around as well.
	 */
	task->since_us = now_us - from->age_ms * GN_US_PER_MS;
	if (from->backoff_ms)
		task->not_before_us =
			now_us + (uint64_t)from->backoff_ms * GN_US_PER_MS;
	/* An earlier owner may have ordered the start of any claim. */
	task->ordered = from->claim > 0;
	return GN_OK;
}

static gn_code_t load_task(gn_batch_value_t *value,
			   const Gn__Batch__StoredTask *from, uint64_t now_us,
			   gn_error_t *error)
{
	const char *bad = find_bad_field(from);
	gn_task_request_t request;
	gn_task_t *task;

	fill_request(&request, from);
	if (bad || gn_task_request_check(&request))
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "task %016llx: invalid %s",
				    (unsigned long long)from->id,
				    bad ? bad : "request");
	if (gn_task_id_bucket(from->id) != value->bucket)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "task %016llx does not belong to bucket %u",
				    (unsigned long long)from->id,
				    value->bucket);
	task = gn_task_create(value, from->id, &request, now_us);
	if (!task || fill_task(task, from, now_us))
		return gn_error_set(error, GN_ERR_MEMORY, STEP, NULL, "task");
	gn_task_assert(task);
	value->tasks[value->task_count++] = task;
	return GN_OK;
}

static gn_code_t check_head(const Gn__Batch__StoredBucket *stored,
			    gn_error_t *error)
{
	if (stored->version != GN_BATCH_VALUE_VERSION)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "version is %u, expected %u",
				    stored->version, GN_BATCH_VALUE_VERSION);
	if (stored->bucket > UINT16_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "bucket number is out of range");
	if (stored->n_predecessors > GN_BATCH_PREDECESSORS_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "predecessors");
	if (stored->n_tasks > GN_BATCH_TASKS_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL, "tasks");
	return GN_OK;
}

static gn_code_t load_bucket(gn_batch_value_t *value,
			     const Gn__Batch__StoredBucket *stored,
			     uint64_t now_us, gn_error_t *error)
{
	gn_code_t code = check_head(stored, error);

	if (code)
		return code;
	value->bucket = stored->bucket;
	value->owner = stored->owner;
	value->owner_epoch = stored->owner_epoch;
	value->owner_revision = stored->owner_revision;
	value->change_id = stored->change_id;
	value->next_serial = stored->next_serial;
	for (size_t i = 0; i < stored->n_predecessors; i++) {
		value->predecessors[i].incarnation =
			stored->predecessors[i]->incarnation;
		value->predecessors[i].acked = stored->predecessors[i]->acked;
	}
	value->predecessor_count = stored->n_predecessors;
	value->tasks = talloc_array(value, gn_task_t *, stored->n_tasks);
	if (!value->tasks)
		return gn_error_set(error, GN_ERR_MEMORY, STEP, NULL, "tasks");
	for (size_t i = 0; i < stored->n_tasks && !code; i++)
		code = load_task(value, stored->tasks[i], now_us, error);
	return code;
}

gn_code_t gn_batch_codec_decode(TALLOC_CTX *parent, gn_str_t bytes,
				uint64_t now_us, gn_batch_value_t **value,
				gn_error_t *error)
{
	Gn__Batch__StoredBucket *stored = NULL;
	gn_batch_value_t *loaded = NULL;
	gn_code_t code;

	if (bytes.len > GN_BATCH_VALUE_MAX)
		return gn_error_set(error, GN_ERR_RANGE, STEP, NULL,
				    "value of %zu bytes is too long",
				    bytes.len);
	stored = gn__batch__stored_bucket__unpack(NULL, bytes.len,
						  (const uint8_t *)bytes.data);
	if (!stored)
		return gn_error_set(error, GN_ERR_INVALID, STEP, NULL,
				    "malformed");
	loaded = talloc_zero(parent, gn_batch_value_t);
	if (!loaded)
		code = gn_error_set(error, GN_ERR_MEMORY, STEP, NULL, "value");
	else
		code = load_bucket(loaded, stored, now_us, error);
	gn__batch__stored_bucket__free_unpacked(stored, NULL);
	if (code)
		talloc_free(loaded);
	else
		*value = loaded;
	return code;
}

static size_t text_size(const char *text)
{
	return *text ? strlen(text) + TEXT_OVERHEAD : 0;
}

size_t gn_batch_codec_task_size(const gn_task_t *task)
{
	size_t size = TASK_FIXED_SIZE + task->spec.len;

	size += text_size(task->team) + text_size(task->kind);
	size += text_size(task->service) + text_size(task->key);
	return size;
}
