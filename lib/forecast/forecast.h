/**
 * @file forecast.h
 * @brief Decides which jobs are refused because they cannot end while of use.
 *
 * The forecast is the earliest end that a job could have: the work ranked ahead
 * of it is done at a rate at the upper end of what is likely. A job is refused
 * only if even this end is too late for its caller. A refused caller is told a
 * time to return. These times are given in the order of the first tries, at the
 * rate at which work is done. The work of refused callers who are due to return
 * counts as ahead of jobs that come first and are not smaller, so that a caller
 * who returns in time goes before them. A refused caller who does not return loses this place
 * GN_FORECAST_GRACE_MS after its time.
 *
 * The state is not stored. A new leader knows neither refused callers nor the
 * rate, and accepts.
 *
 * Load: for some seconds to minutes, much more best-effort work is submitted
 * than the fleet can do, so that jobs accepted late take part in a queue whose
 * end they cannot reach in time.
 */
#ifndef GN_FORECAST_FORECAST_H
#define GN_FORECAST_FORECAST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/** Time for which a refused job is remembered, and how many are at most. */
#define GN_FORECAST_MEMORY_MS 60000
#define GN_FORECAST_REFUSED_MAX 4096
/** Time after its due time for which the place of a refused caller is kept.
 * Retry-After has whole seconds, and the caller may be a second late. */
#define GN_FORECAST_GRACE_MS 2000
/** Bounds of the time after which a refused caller may return. */
#define GN_FORECAST_RETRY_MIN_MS 1000
#define GN_FORECAST_RETRY_MAX_MS 30000
/**
 * A queue that had no job accepted for this long has its next one accepted.
 * Each queue is to have one in each 10 s; 2 s are left for a caller to come.
 */
#define GN_FORECAST_QUEUE_SHARE_MS 8000

typedef struct gn_forecast_s gn_forecast_t;

/** A job and the load that it meets. Work is in thousandths of a core times ms.
 */
typedef struct gn_forecast_input_s {
	const char *job; /**< Job ID. */
	const char *queue;
	uint64_t now_us;
	/** Longest chain of steps, by the best known run times. */
	uint64_t chain_us;
	double work; /**< Work of the job, by the same run times. */
	/** Time in which the job should end. */
	uint64_t objective_us;
	double ahead; /**< Work that ranks ahead of the job. */
	/** Rate at which such work is done, thousandths of a core; 0 while it is
	 * unknown. */
	double rate_milli;
	double spread_milli; /**< Standard error of the rate. */
	/** Earliest time at which the job would go ahead of others although it
	 * is late; UINT64_MAX if it never does. */
	uint64_t late_start_us;
	/** Whether there is room for a task of the first step. */
	bool has_free_capacity;
} gn_forecast_input_t;

/** What decided. */
typedef enum gn_forecast_reason_e {
	GN_FORECAST_NOT_ASKED =
		0, /**< The forecast is off or does not apply. */
	GN_FORECAST_USEFUL, /**< The job can end while it is of use. */
	GN_FORECAST_NO_RATE, /**< The rate is not known yet. */
	GN_FORECAST_FREE_CAPACITY,
	GN_FORECAST_QUEUE_SHARE, /**< Its queue had no job accepted for long. */
	GN_FORECAST_NO_USE, /**< The only reason to refuse. */
	GN_FORECAST_REASON_COUNT
} gn_forecast_reason_t;

typedef struct gn_forecast_decision_s {
	gn_forecast_reason_t reason;
	/** Earliest end; 0 if it is unknown. */
	uint64_t end_us;
	/** Time after which a refused caller may return, in whole seconds; 0 if
	 * the job is accepted. */
	unsigned retry_ms;
	bool returned; /**< The caller was refused before. */
	/** Work of refused callers that counted as ahead. */
	double promised;
} gn_forecast_decision_t;

/** Creates the state; returns NULL if out of memory. */
gn_forecast_t *gn_forecast_create(TALLOC_CTX *parent);

/** Decides on a job, and remembers it if it is refused. */
gn_forecast_decision_t gn_forecast_decide(gn_forecast_t *forecast,
					  const gn_forecast_input_t *input);

/** Number of refused jobs that are remembered. */
size_t gn_forecast_count_refused(const gn_forecast_t *forecast);

/** Returns the name of a reason, for logs and counters. */
const char *gn_forecast_reason_name(gn_forecast_reason_t reason);

#endif
