/**
 * @file queue_model.h
 * @brief Discrete-event simulation of workers and entries on a simulated clock.
 *
 * Requests arrive at random at the entries, which run the product's routing,
 * retry and admission modules. Each worker serves as many requests at a time as
 * it has cores, first come, first served, and refuses those above its
 * connection limit. Load reports reach the entries with a delay. One seed
 * determines the whole run.
 */
#ifndef TESTS_SUPPORT_QUEUE_MODEL_H
#define TESTS_SUPPORT_QUEUE_MODEL_H

#include <glib.h>

#include "limit/limit.h"
#include "route/eject.h"
#include "route/pick.h"
#include "route/retry.h"

/** Maximum number of workers and entries of a model. */
#define MODEL_WORKERS_MAX 64
#define MODEL_ENTRIES_MAX 4

/** Fault of a worker. */
typedef enum model_fault_e {
	MODEL_HEALTHY = 0,
	/** The worker fails each request after a millisecond. */
	MODEL_FAILS_FAST,
	MODEL_REFUSES, /**< The worker refuses each request as not run. */
	MODEL_SLOW, /**< The worker takes ten times the service time. */
	/** The worker fails fast for 3 s, then works for 3 s, in turn. */
	MODEL_FLAPS,
} model_fault_t;

/** Parameters of a model; the first @p faulty workers have @p fault. */
typedef struct model_config_s {
	guint32 seed;
	unsigned workers; /**< Number of workers, 1..MODEL_WORKERS_MAX. */
	/** Number of data centres; workers are assigned to them in turn. */
	unsigned data_centres;
	/** Number of entries, 1..MODEL_ENTRIES_MAX; one per data centre. */
	unsigned entries;
	unsigned cores; /**< Cores of a worker. */
	unsigned connections; /**< Connection limit of a worker. */
	/** Delay between data centres; within one it is a twentieth. */
	uint32_t one_way_us;
	/** Delay to the last data centre; 0: the same as to the others. */
	uint32_t last_one_way_us;
	/**
	 * True if the entries assume the last data centre to be as near as the
	 * others.
	 */
	bool unaware;
	/** Mean service time; it is exponentially distributed. */
	uint32_t service_us;
	/** Offered load in per cent of the cores of all workers. */
	unsigned load_pct;
	uint32_t report_interval_us;
	uint32_t report_delay_us;
	bool piggyback; /**< True if each response carries a load report. */
	/** Length of the initial phase that isn't measured. */
	uint64_t warm_up_us;
	uint64_t length_us; /**< Length of the measured phase. */
	uint64_t deadline_us;
	unsigned repeatable_pct; /**< Share of repeatable requests. */
	unsigned faulty;
	model_fault_t fault;
	gn_route_policy_id_t policy;
	bool use_limit;
	bool use_eject;
	bool use_retry;
} model_config_t;

/** Measurements. Times are as seen by the caller at the entry. */
typedef struct model_result_s {
	uint64_t requests;
	uint64_t attempts;
	uint64_t
		succeeded; /**< Requests with a complete, successful response. */
	uint64_t in_time; /**< Successful requests within the deadline. */
	/** Requests that failed, or whose outcome is unknown. */
	uint64_t failed;
	uint64_t not_run; /**< Requests refused as not run. */
	uint32_t p50_us; /**< Response times of the successful requests. */
	uint32_t p99_us;
	uint32_t p999_us;
	/** Time until the caller received a refusal. */
	uint32_t refusal_p99_us;
	/**
	 * Mean standard deviation of the workers' load, relative to the mean
	 * load.
	 */
	double spread;
	/** Workers without a fault that aren't passing at the end. */
	unsigned healthy_ejected;
	/** Workers with a fault that aren't passing at the end. */
	unsigned faulty_ejected;
} model_result_t;

/** Runs a model from start to end and fills @p result. */
void model_run(const model_config_t *config, model_result_t *result);

#endif
