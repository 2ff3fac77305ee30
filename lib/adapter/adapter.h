/**
 * @file adapter.h
 * @brief What a platform's adapter translates, as tables of functions.
 *
 * Callers, backend servers, operators and the store of a platform speak names
 * and encodings of its own. An adapter turns them into the product's types and
 * back, and decides nothing.
 */
#ifndef GN_ADAPTER_ADAPTER_H
#define GN_ADAPTER_ADAPTER_H

#include <talloc.h>

#include "http/client.h"
#include "http/server.h"
#include "job/job.h"
#include "platform/kv_json.h"
#include "queue/queue.h"
#include "wire/gypsumnotch.pb-c.h"

/* ======   Callers   ====== */

/** What a caller asks. */
typedef struct gn_job_call_s {
	gn_job_call_kind_t kind;
	const gn_queue_t *queue;
	char job[GN_JOB_ID_LEN + 1];
	Gn__JobSpec *spec; /**< submit: free with gn__job_spec__free_unpacked */
} gn_job_call_t;

/** The answer to it. */
typedef struct gn_job_answer_s {
	gn_job_call_kind_t kind;
	gn_job_result_t result;
	gn_job_phase_t phase;
	uint64_t waiting;
	unsigned retry_after_s; /**< refused; 0: not told */
	const char *reason; /**< static or longer-lived text, or NULL */
} gn_job_answer_t;

/* ======   Workers   ====== */

/** What a backend server says of itself. */
typedef struct gn_worker_notice_s {
	bool leaves; /**< it ends now */
	char life[GN_NAME_MAX + 1];
	uint64_t born_ms; /**< since 1970 */
	uint64_t sequence; /**< rises within a life */
	char service[GN_NAME_MAX + 1];
	char data_centre[GN_NAME_MAX + 1];
	char address[GN_ADDRESS_MAX + 1]; /**< where it takes calls */
	char machine[GN_NAME_MAX + 1];
	char rack[GN_NAME_MAX + 1];
	char **labels; /**< NULL-terminated; talloc */
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	uint32_t remaining_ms; /**< at least, while it drains */
} gn_worker_notice_t;

/** What is asked of a backend server. */
typedef enum gn_worker_call_kind_e {
	GN_WORKER_LIST = 0, /**< runs and ends, and extend the lease */
	GN_WORKER_START,
	GN_WORKER_STOP,
	GN_WORKER_PACE
} gn_worker_call_kind_t;

/** A call to a backend server. Members that do not apply are 0 or NULL. */
typedef struct gn_worker_call_s {
	gn_worker_call_kind_t kind;
	const char *address;
	const char *life; /**< it is meant for; empty: any */
	uint64_t epoch; /**< of the leader: the fence */
	const char *task;
	uint32_t attempt;
	gn_str_t payload;
	const char *checkpoint;
	const char *ticket;
	uint32_t percent;
	uint64_t lease_until_ms; /**< on the worker's clock; 0: not extended */
	uint64_t ends_stored; /**< ends up to this may be forgotten */
	uint32_t wait_ms; /**< list: longest wait for an end */
} gn_worker_call_t;

/** What came of a call. */
typedef enum gn_worker_verdict_e {
	GN_WORKER_OK = 0,
	GN_WORKER_UNANSWERED, /**< may have been carried out, or still be */
	GN_WORKER_UNSENT, /**< surely not carried out */
	GN_WORKER_UNHEALTHY, /**< refused, nothing was done */
	GN_WORKER_FENCED, /**< a later leader has called before */
	GN_WORKER_OLD, /**< the run has ended or was stopped before */
	GN_WORKER_LATE, /**< the lease had run out on its clock */
	GN_WORKER_FULL, /**< no room */
	GN_WORKER_NO_TICKET,
	GN_WORKER_OTHER_LIFE, /**< the life that was meant has ended */
	GN_WORKER_MALFORMED
} gn_worker_verdict_t;

/** The answer of a backend server. */
typedef struct gn_worker_answer_s {
	gn_worker_verdict_t verdict;
	uint64_t clock_ms; /**< the worker's clock; 0: not told */
	uint64_t born_ms; /**< start of its life; 0: not told */
	Gn__WorkerRun **runs; /**< list; talloc */
	size_t run_count;
	Gn__WorkerEnd *
		*ends; /**< list; in the order of their numbers; talloc */
	size_t end_count;
} gn_worker_answer_t;

/* ======   The adviser   ====== */

/** What the adviser said of a step. */
typedef struct gn_advice_answer_s {
	unsigned valid_ms; /**< of the tickets; 0: there was no answer */
	const char **lives; /**< of the workers that may run it; talloc */
	const char **tickets; /**< one for each */
	size_t count;
} gn_advice_answer_t;

/* ======   The table   ====== */

/** A platform's adapter. */
typedef struct gn_adapter_s {
	const gn_kv_codec_t *store;
	const char *config_key; /**< of the operators' configuration */

	/**
	 * Reads a configuration.
	 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
	 */
	gn_code_t (*read_config)(TALLOC_CTX *parent, gn_str_t text,
				 gn_queues_t **queues, gn_error_t *error);

	/**
	 * Reads a caller's request.
	 * @return GN_OK; GN_ERR_NOT_FOUND: no such queue; GN_ERR_INVALID
	 */
	gn_code_t (*read_call)(const gn_http_request_t *request,
			       const gn_queues_t *queues, gn_job_call_t *call,
			       gn_error_t *error);
	/** Fills in the answer to a caller. */
	void (*write_answer)(const gn_job_answer_t *answer,
			     gn_http_answer_t *http);

	/** Whether @p request asks if this process takes requests. */
	bool (*is_readiness)(const gn_http_request_t *request);

	/**
	 * Reads what a backend server sent.
	 * @return GN_OK; GN_ERR_NOT_FOUND: another request; GN_ERR_INVALID
	 */
	gn_code_t (*read_notice)(TALLOC_CTX *parent,
				 const gn_http_request_t *request,
				 gn_worker_notice_t *notice, gn_error_t *error);

	/** Fills in the HTTP call for @p call; false: memory is short. */
	bool (*write_worker_call)(const gn_worker_call_t *call,
				  gn_http_call_t *http);
	/** Reads the answer to a call of @p kind. */
	void (*read_worker_answer)(TALLOC_CTX *parent,
				   gn_worker_call_kind_t kind,
				   const gn_http_call_t *http,
				   gn_worker_answer_t *answer);

	/** Fills in a call to the adviser; false: memory is short. */
	bool (*write_advice_call)(const char *address, const char *step,
				  const char *const *lives, size_t count,
				  gn_http_call_t *http);
	/** Reads its answer. */
	void (*read_advice_answer)(TALLOC_CTX *parent,
				   const gn_http_call_t *http,
				   gn_advice_answer_t *answer);
} gn_adapter_t;

#endif
