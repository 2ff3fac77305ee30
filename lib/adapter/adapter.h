/**
 * @file adapter.h
 * @brief Interface of a platform's adapter, a table of functions.
 *
 * Each platform has its own names and encodings for the requests of callers,
 * backend servers and operators and for the data of its key-value service. An
 * adapter translates them to and from the types of this software and makes no
 * scheduling decisions.
 *
 * A life is one run of a backend server's process, from its start to its end.
 * It is identified by the instance ID that the platform gave it together with
 * the time of its start, since a server may start again under the ID that it
 * had. A call names the ID only, so it may reach a later life with this ID.
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

/** A caller's request about a job. */
typedef struct gn_job_call_s {
	gn_job_call_kind_t kind;
	const gn_queue_t *queue;
	/** When the caller gives up, in ms since 1970; 0: unknown. */
	uint64_t deadline_ms;
	char job[GN_JOB_ID_LEN + 1];
	/** Set by a submit only; free with gn__job_spec__free_unpacked(). */
	Gn__JobSpec *spec;
} gn_job_call_t;

/** The answer to a gn_job_call_t. */
typedef struct gn_job_answer_s {
	gn_job_call_kind_t kind;
	gn_job_result_t result;
	gn_job_phase_t phase;
	uint64_t waiting;
	unsigned retry_after_s; /**< Set by a refusal; 0: unknown. */
	/** Why a request is refused or a job has failed; must outlive the
	 * answer; may be NULL. */
	const char *reason;
} gn_job_answer_t;

/* ======   Workers   ====== */

/** A heartbeat or the deregistration of a backend server. */
typedef struct gn_worker_notice_s {
	/** The server deregisters; only its life is set. */
	bool deregisters;
	char life[GN_NAME_MAX + 1]; /**< ID of the life. */
	/** Start of the life, in ms since 1970; 0: unknown. */
	uint64_t life_started_ms;
	uint64_t sequence; /**< Increases within a life. */
	char service[GN_NAME_MAX + 1];
	char data_centre[GN_NAME_MAX + 1];
	char address[GN_ADDRESS_MAX + 1]; /**< Where the server listens. */
	char machine[GN_NAME_MAX + 1]; /**< Name of the host. */
	char rack[GN_NAME_MAX + 1];
	char **labels; /**< NULL-terminated, allocated by talloc. */
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	/** Minimum time until a draining server ends. */
	uint32_t remaining_ms;
	/** Time for which the server remains slow after its start. */
	uint32_t cold_left_ms;
} gn_worker_notice_t;

/** The kinds of calls to a backend server. */
typedef enum gn_worker_call_kind_e {
	/** Lists the runs and the ended runs, and extends the lease. */
	GN_WORKER_LIST = 0,
	GN_WORKER_START,
	GN_WORKER_STOP,
	GN_WORKER_PACE,
	GN_WORKER_CALL_KIND_COUNT
} gn_worker_call_kind_t;

/** A call to a backend server. Members without use for its kind are 0. */
typedef struct gn_worker_call_s {
	gn_worker_call_kind_t kind;
	const char *address;
	/** ID of the life; servers with others refuse; empty: any. */
	const char *life;
	uint64_t epoch; /**< The leader's epoch, sent as fencing token. */
	const char *task;
	uint32_t attempt;
	gn_str_t payload;
	const char *checkpoint;
	const char *ticket;
	uint32_t percent;
	/** End of the lease on the worker's clock; 0: not extended. */
	uint64_t lease_until_ms;
	/** The worker may drop ended runs up to this number. */
	uint64_t ends_stored;
	/** Maximum time that a list waits for an ended run. */
	uint32_t wait_ms;
} gn_worker_call_t;

/** The result of a call to a backend server. */
typedef enum gn_worker_call_outcome_e {
	GN_WORKER_OK = 0,
	GN_WORKER_UNANSWERED, /**< May have been, or may yet be, executed. */
	GN_WORKER_UNSENT, /**< Certainly not executed. */
	GN_WORKER_UNHEALTHY, /**< Refused by an unhealthy server, no effect. */
	GN_WORKER_FENCED, /**< A later leader has called this server. */
	GN_WORKER_RUN_OVER, /**< The run had ended or been stopped before. */
	/** The lease had expired on the server's clock. */
	GN_WORKER_LEASE_EXPIRED,
	GN_WORKER_FULL, /**< The server has no capacity left. */
	GN_WORKER_NO_TICKET, /**< The ticket is missing or not valid. */
	GN_WORKER_LIFE_ENDED, /**< The addressed life has ended. */
	GN_WORKER_MALFORMED /**< The server rejected the call as malformed. */
} gn_worker_call_outcome_t;

/** The response of a backend server. */
typedef struct gn_worker_answer_s {
	gn_worker_call_outcome_t outcome;
	uint64_t clock_ms; /**< The worker's clock; 0: not in the response. */
	/** Start of its life, in ms since 1970; 0: not in the response. */
	uint64_t life_started_ms;
	/** Set by a list only; allocated by talloc. */
	Gn__WorkerRun **runs;
	size_t run_count;
	/** Ended runs in the order of their numbers; as runs. */
	Gn__WorkerEnd **ends;
	size_t end_count;
	/** The list has the longest part of the ends that a response can have; there
	 * may be later ones. */
	bool ends_cut;
	size_t refused_rows; /**< Malformed rows, which are left out. */
} gn_worker_answer_t;

/* ======   Advice   ====== */

/** The advice service's response: the workers that may run a step. */
typedef struct gn_advice_answer_s {
	unsigned valid_ms; /**< Validity of the tickets; 0: no response. */
	const char **lives; /**< Permitted workers; allocated by talloc. */
	const char **tickets; /**< One ticket for each of lives. */
	size_t count; /**< Number of lives and of tickets. */
} gn_advice_answer_t;

/* ======   Function table   ====== */

/** A platform's adapter. */
typedef struct gn_adapter_s {
	const gn_kv_codec_t *store;
	/** Key of the configuration in the key-value service. */
	const char *config_key;
	/** Name of the header with the deadline of a caller's request. */
	const char *deadline_header;
	/**
	 * Prefix of the keys that evacuate a data centre, which end with its
	 * name.
	 */
	const char *evacuation_prefix;

	/**
	 * Parses the operators' configuration.
	 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
	 */
	gn_code_t (*read_config)(TALLOC_CTX *parent, gn_str_t text,
				 gn_queues_t **queues, gn_error_t *error);

	/**
	 * Parses a caller's request.
	 * @return GN_OK, GN_ERR_NOT_FOUND (no such queue), GN_ERR_INVALID or
	 *         GN_ERR_MEMORY
	 */
	gn_code_t (*read_call)(const gn_http_request_t *request,
			       const gn_queues_t *queues, gn_job_call_t *call,
			       gn_error_t *error);
	/** Encodes @p answer as the HTTP response to a caller. */
	void (*write_answer)(const gn_job_answer_t *answer,
			     gn_http_answer_t *http);

	/** Whether @p request is a readiness probe of this process. */
	bool (*is_readiness)(const gn_http_request_t *request);

	/**
	 * Parses a backend server's heartbeat or deregistration.
	 * @param parent talloc parent of the labels
	 * @return GN_OK, GN_ERR_NOT_FOUND (another request) or GN_ERR_INVALID
	 */
	gn_code_t (*read_notice)(TALLOC_CTX *parent,
				 const gn_http_request_t *request,
				 gn_worker_notice_t *notice, gn_error_t *error);

	/**
	 * Encodes @p call as an HTTP call.
	 * @return false if out of memory
	 */
	bool (*write_worker_call)(const gn_worker_call_t *call,
				  gn_http_call_t *http);
	/**
	 * Parses the response to a call of @p kind.
	 * @param parent talloc parent of the runs and ends
	 */
	void (*read_worker_answer)(TALLOC_CTX *parent,
				   gn_worker_call_kind_t kind,
				   const gn_http_call_t *http,
				   gn_worker_answer_t *answer);

	/**
	 * Encodes a call to the advice service at @p address.
	 * @return false if out of memory
	 */
	bool (*write_advice_call)(const char *address, const char *step,
				  const char *const *lives, size_t count,
				  gn_http_call_t *http);
	/**
	 * Parses the response of the advice service.
	 * @param parent talloc parent of the lives and tickets
	 */
	void (*read_advice_answer)(TALLOC_CTX *parent,
				   const gn_http_call_t *http,
				   gn_advice_answer_t *answer);
} gn_adapter_t;

#endif
