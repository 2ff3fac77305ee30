/**
 * @file queue_model.h
 * @brief A queueing model of a few workers and entries, on a paused clock.
 *
 * Requests arrive at random at the entries, which decide by the product's
 * modules; each worker serves as many at a time as it has cores, first come
 * first served, and refuses what goes beyond its connections. Reports reach
 * the entries late. All comes from one seed.
 */
#ifndef TESTS_SUPPORT_QUEUE_MODEL_H
#define TESTS_SUPPORT_QUEUE_MODEL_H

#include <glib.h>

#include "limit/limit.h"
#include "route/eject.h"
#include "route/pick.h"
#include "route/retry.h"

/** Most workers and entries of a model. */
#define MODEL_WORKERS_MAX 64
#define MODEL_ENTRIES_MAX 4

/** What is wrong with a worker. */
typedef enum model_fault_e {
	MODEL_WELL = 0,
	MODEL_FAILS_FAST, /**< fails each request in a millisecond */
	MODEL_REFUSES, /**< refuses each with evidence that it wasn't run */
	MODEL_SLOW, /**< ten times the service time */
	MODEL_FLAPS, /**< fails fast every other three seconds */
} model_fault_t;

/** A model; the first @p faulty workers have @p fault. */
typedef struct model_config_s {
	guint32 seed;
	unsigned workers; /**< 1..MODEL_WORKERS_MAX */
	unsigned data_centres; /**< workers are dealt out to them in turn */
	unsigned entries; /**< 1..MODEL_ENTRIES_MAX, one a data centre */
	unsigned cores; /**< of a worker */
	unsigned connections; /**< of a worker */
	uint32_t one_way_us; /**< between data centres; a twentieth within */
	uint32_t last_one_way_us; /**< to the last data centre; 0: as others */
	bool unaware; /**< entries take the last for one of the others */
	uint32_t service_us; /**< mean of an exponential distribution */
	unsigned load_pct; /**< offered, of the cores of all workers */
	uint32_t report_interval_us;
	uint32_t report_delay_us;
	bool piggyback; /**< each answer carries a report */
	uint64_t warm_up_us; /**< not measured */
	uint64_t length_us; /**< measured */
	uint64_t deadline_us;
	unsigned repeatable_pct; /**< of the requests */
	unsigned faulty;
	model_fault_t fault;
	gn_route_policy_id_t policy;
	bool use_limit;
	bool use_eject;
	bool use_retry;
} model_config_t;

/** What was measured. Times are seen by the caller at the entry. */
typedef struct model_result_s {
	uint64_t requests;
	uint64_t tries;
	uint64_t passed; /**< with a whole answer */
	uint64_t in_time; /**< passed within the deadline */
	uint64_t failed; /**< ran and failed, or unknown */
	uint64_t not_run; /**< refused */
	uint32_t p50_us; /**< of those that passed */
	uint32_t p99_us;
	uint32_t p999_us;
	uint32_t refusal_p99_us; /**< until a refusal was heard */
	double spread; /**< deviation of the workers' load, of its mean */
	unsigned
		well_ejected; /**< workers without fault, left out at the end */
	unsigned faulty_ejected;
} model_result_t;

/** Runs a model from start to end. */
void model_run(const model_config_t *config, model_result_t *result);

#endif
