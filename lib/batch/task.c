#include "batch/task.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"

#define SERIAL_BITS 48
#define CLAIM_BITS 32
/** Length of an ID as text: bucket and serial as "bbbb-ssssssssssss". */
#define ID_TEXT_LEN 17

static const char *const state_names[GN_TASK_STATE_COUNT] = {
	[GN_TASK_QUEUED] = "queued",   [GN_TASK_CLAIMED] = "claimed",
	[GN_TASK_RUNNING] = "running", [GN_TASK_CHECKPOINTED] = "checkpointed",
	[GN_TASK_DONE] = "done",       [GN_TASK_CANCELLED] = "cancelled",
	[GN_TASK_PARKED] = "parked",
};

static const char *const reason_names[GN_TASK_REASON_COUNT] = {
	[GN_TASK_REASON_NONE] = "none",
	[GN_TASK_REASON_NO_SERVICE] = "no-such-service",
	[GN_TASK_REASON_CORES] = "too-many-cores",
	[GN_TASK_REASON_MEMORY] = "too-much-memory",
	[GN_TASK_REASON_ACCELERATORS] = "too-many-accelerators",
	[GN_TASK_REASON_FAILED_WORKERS] = "failed-on-several-workers",
	[GN_TASK_REASON_ATTEMPTS] = "failed-too-often",
};

const char *gn_task_state_name(gn_task_state_t state)
{
	assert((unsigned)state < GN_TASK_STATE_COUNT);
	return state_names[state];
}

const char *gn_task_reason_name(gn_task_reason_t reason)
{
	assert((unsigned)reason < GN_TASK_REASON_COUNT);
	return reason_names[reason];
}

bool gn_task_state_is_final(gn_task_state_t state)
{
	return state == GN_TASK_DONE || state == GN_TASK_CANCELLED ||
	       state == GN_TASK_PARKED;
}

bool gn_task_state_is_waiting(gn_task_state_t state)
{
	return state == GN_TASK_QUEUED || state == GN_TASK_CHECKPOINTED;
}

bool gn_task_state_is_held(gn_task_state_t state)
{
	return state == GN_TASK_CLAIMED || state == GN_TASK_RUNNING;
}

uint64_t gn_task_id_make(unsigned bucket, uint64_t serial)
{
	assert(bucket <= UINT16_MAX);
	assert(serial >> SERIAL_BITS == 0);
	return (uint64_t)bucket << SERIAL_BITS | serial;
}

unsigned gn_task_id_bucket(uint64_t id)
{
	return (unsigned)(id >> SERIAL_BITS);
}

void gn_task_id_format(uint64_t id, char text[GN_TASK_ID_SIZE])
{
	snprintf(text, GN_TASK_ID_SIZE, "%04x-%012" PRIx64,
		 gn_task_id_bucket(id),
		 id & ((UINT64_C(1) << SERIAL_BITS) - 1));
}

static int digit_of(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

gn_code_t gn_task_id_parse(gn_str_t text, uint64_t *id)
{
	uint64_t value = 0;

	if (text.len != ID_TEXT_LEN || text.data[4] != '-')
		return GN_ERR_INVALID;
	for (size_t i = 0; i < text.len; i++) {
		int digit = digit_of(text.data[i]);

		if (i == 4)
			continue;
		if (digit < 0)
			return GN_ERR_INVALID;
		value = value << 4 | (uint64_t)digit;
	}
	*id = value;
	return GN_OK;
}

static bool is_name(gn_str_t text)
{
	return text.len >= 1 && text.len <= GN_NAME_MAX &&
	       !memchr(text.data, '\0', text.len);
}

gn_code_t gn_task_request_check(const gn_task_request_t *request)
{
	if (request->work_class != GN_CLASS_BATCH &&
	    request->work_class != GN_CLASS_STANDING)
		return GN_ERR_RANGE;
	if (!is_name(request->team) || !is_name(request->kind) ||
	    !is_name(request->service))
		return GN_ERR_RANGE;
	if (request->key.len > GN_KEY_MAX ||
	    (request->key.len &&
	     memchr(request->key.data, '\0', request->key.len)))
		return GN_ERR_RANGE;
	if (request->priority >= GN_TASK_PRIORITIES ||
	    request->cores > GN_TASK_CORES_MAX ||
	    request->memory_mb > GN_TASK_MEMORY_MB_MAX ||
	    request->accelerators > GN_TASK_ACCELERATORS_MAX)
		return GN_ERR_RANGE;
	if (request->run_ms > GN_TASK_RUN_MS_MAX ||
	    request->checkpoint_ms > GN_TASK_RUN_MS_MAX ||
	    request->spec.len > GN_TASK_SPEC_MAX)
		return GN_ERR_RANGE;
	return GN_OK;
}

gn_code_t gn_task_set_text(gn_task_t *task, const char **field, gn_str_t text)
{
	char *copy;

	if (!text.len) {
		if (*field && **field)
			talloc_free((void *)*field);
		*field = "";
		return GN_OK;
	}
	copy = talloc_strndup(task, text.data, text.len);
	if (!copy)
		return GN_ERR_MEMORY;
	if (*field && **field)
		talloc_free((void *)*field);
	*field = copy;
	return GN_OK;
}

static gn_code_t copy_texts(gn_task_t *task, const gn_task_request_t *request)
{
	struct {
		const char **field;
		gn_str_t text;
	} const copies[] = {
		{ &task->team, request->team },
		{ &task->kind, request->kind },
		{ &task->service, request->service },
		{ &task->key, request->key },
		{ &task->worker, GN_STR("") },
		{ &task->checkpoint, GN_STR("") },
	};

	for (size_t i = 0; i < sizeof(copies) / sizeof(copies[0]); i++) {
		if (gn_task_set_text(task, copies[i].field, copies[i].text))
			return GN_ERR_MEMORY;
	}
	if (!request->spec.len)
		return GN_OK;
	task->spec.data =
		talloc_memdup(task, request->spec.data, request->spec.len);
	task->spec.len = request->spec.len;
	return task->spec.data ? GN_OK : GN_ERR_MEMORY;
}

gn_task_t *gn_task_create(TALLOC_CTX *parent, uint64_t id,
			  const gn_task_request_t *request, uint64_t now_us)
{
	gn_task_t *task = talloc_zero(parent, gn_task_t);

	if (!task)
		return NULL;
	task->id = id;
	task->work_class = request->work_class;
	task->state = GN_TASK_QUEUED;
	task->priority = request->priority;
	task->cores = request->cores;
	task->memory_mb = request->memory_mb;
	task->accelerators = request->accelerators;
	task->run_ms = request->run_ms;
	task->checkpoint_ms = request->checkpoint_ms;
	task->since_us = now_us;
	if (copy_texts(task, request)) {
		talloc_free(task);
		return NULL;
	}
	gn_task_assert(task);
	return task;
}

bool gn_task_has_failed_on(const gn_task_t *task, const char *worker)
{
	for (unsigned i = 0; i < task->failed_worker_count; i++) {
		if (!strcmp(task->failed_workers[i], worker))
			return true;
	}
	return false;
}

gn_code_t gn_task_add_failed_worker(gn_task_t *task, const char *worker)
{
	gn_code_t code;

	if (gn_task_has_failed_on(task, worker))
		return GN_OK;
	if (task->failed_worker_count == GN_TASK_FAILED_WORKERS_MAX)
		return GN_OK;
	code = gn_task_set_text(
		task, &task->failed_workers[task->failed_worker_count],
		gn_str_from(worker));
	if (!code)
		task->failed_worker_count++;
	return code;
}

void gn_task_assert(const gn_task_t *task)
{
	assert(task->work_class == GN_CLASS_BATCH ||
	       task->work_class == GN_CLASS_STANDING);
	assert((unsigned)task->state < GN_TASK_STATE_COUNT);
	assert(task->priority < GN_TASK_PRIORITIES);
	assert(task->failed_worker_count <= GN_TASK_FAILED_WORKERS_MAX);
	/* A held task has a worker and a claim. */
	assert(!gn_task_state_is_held(task->state) ||
	       (task->worker[0] && task->claim));
	/* Only a waiting task is in the queue. */
	assert(!task->group || gn_task_state_is_waiting(task->state));
	assert(task->state != GN_TASK_PARKED ||
	       task->reason != GN_TASK_REASON_NONE);
	assert(task->state != GN_TASK_CHECKPOINTED || task->checkpoint[0]);
	assert(!task->not_run || task->state == GN_TASK_CANCELLED);
	/* A start is ordered only after a claim. */
	assert(!task->ordered || task->claim);
}

uint64_t gn_task_epoch(uint32_t owner_epoch, uint32_t claim)
{
	return (uint64_t)owner_epoch << CLAIM_BITS | claim;
}

uint32_t gn_task_epoch_claim(uint64_t epoch)
{
	return (uint32_t)epoch;
}

uint32_t gn_task_epoch_owner(uint64_t epoch)
{
	return (uint32_t)(epoch >> CLAIM_BITS);
}
