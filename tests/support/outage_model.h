/**
 * @file outage_model.h
 * @brief Simulates callers while the key-value service is away.
 *
 * Some schedulers take submissions at a constant rate and pass them to the
 * leader, which stores a limited number a second. A refused caller returns to
 * any scheduler after the time that it was given, four times at most. What a
 * scheduler does with a request that it cannot serve is decided by a table of
 * functions, so that lib/outage can be compared with a constant Retry-After.
 * The model runs on its own time in steps of 10 ms.
 */
#ifndef TESTS_SUPPORT_OUTAGE_MODEL_H
#define TESTS_SUPPORT_OUTAGE_MODEL_H

#include <glib.h>

#include "outage/outage.h"

#define OUTAGE_MODEL_SCHEDULERS 5
#define OUTAGE_MODEL_RETRIES 4

/** One case of the model. */
typedef struct outage_model_case_s {
	uint64_t length_us; /**< Length of each outage. */
	unsigned outages; /**< Number of outages; 0 counts as 1. */
	uint64_t pause_us; /**< Time between two outages. */
	gn_outage_failure_t failure; /**< How calls fail meanwhile. */
	/** Time from the service's return until a new leader can be elected. */
	uint64_t recovery_us;
	/** Only this scheduler is affected; negative: all are. */
	int cut_off;
	bool loses_links; /**< It loses its link to the leader, too. */
	bool leads; /**< The leader is the one that is cut off. */
	/** Schedulers 1 and 2 are restarted in the middle of the outage. */
	bool restarts;
	/** Time from the first try after which callers give up, and until which
	 * they return sooner than they are told if need be; 0: none. */
	uint64_t patience_us;
	guint32 seed;
} outage_model_case_t;

/** What the callers of a run got. */
typedef struct outage_model_result_s {
	unsigned callers;
	unsigned served;
	unsigned in_time; /**< Served within their objective. */
	unsigned refused_for_good;
	/** Requests not answered before their deadline. */
	unsigned timeouts;
	unsigned refusals;
	double delay_s; /**< Mean time from the first try, of those served. */
	unsigned returns_max; /**< Most returns within 100 ms. */
	/** Served after one that arrived later at the same scheduler. */
	unsigned overtaken;
} outage_model_result_t;

/** A scheduler's rule; @p state is its gn_outage_t, which may be unused. */
typedef struct outage_model_rule_s {
	const char *name;
	/** Decides on a request that cannot be served at its arrival. */
	gn_outage_decision_t (*decide)(gn_outage_t *state,
				       const gn_outage_view_t *view,
				       uint64_t remaining_us);
	/** Whether a leader takes a submission to wait for the service. */
	bool (*waits_for_store)(const gn_outage_t *state,
				const gn_outage_view_t *view,
				uint64_t remaining_us);
	/** Whether a held request waits on. */
	bool (*keeps_holding)(const gn_outage_t *state,
			      const gn_outage_view_t *view, uint64_t arrived_us,
			      uint64_t until_us, uint64_t deadline_us);
	/** Refuses a request whose wait is over. */
	gn_outage_decision_t (*refuse)(gn_outage_t *state,
				       const gn_outage_view_t *view);
	/** Longest wait for the store at a leader. */
	uint64_t (*get_unsent_limit_us)(uint64_t remaining_us);
} outage_model_rule_t;

/** Refuses with a Retry-After of 1 s, and holds during elections only. */
extern const outage_model_rule_t outage_model_constant_rule;
/** Follows lib/outage. */
extern const outage_model_rule_t outage_model_rule;

outage_model_result_t outage_model_run(const outage_model_case_t *c,
				       const outage_model_rule_t *rule);

#endif
