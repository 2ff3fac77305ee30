/**
 * @file ctl_outcome.h
 * @brief Runs a change or a query and reports its outcome to the operator.
 */
#ifndef GN_CTL_OUTCOME_H
#define GN_CTL_OUTCOME_H

#include "ctl/ctl_http.h"

/** Description of a change in messages to the operator. */
typedef struct gn_ctl_change_s {
	const char *description; /**< Text such as "drain rey-01". */
	const char *id_name; /**< Type of the ID: "change" or "key". */
	const char *id; /**< ID of the change, or NULL. */
	/** Advice for an unknown outcome, or NULL. */
	const char *hint;
	/**
	 * Whether the request is a query, which changes nothing itself. If it
	 * is about a change, only an answer with its ID proves the outcome.
	 */
	bool is_query;
} gn_ctl_change_t;

/**
 * Sends a change, or a query about one, and prints its outcome.
 * @return an exit code
 */
int gn_ctl_run_change(gn_ctl_t *ctl, const gn_ctl_request_t *request,
		      const gn_ctl_change_t *change);

/** How the answer to a query is recognized and printed. */
typedef struct gn_ctl_view_s {
	/** Key that an answer must have; with NULL any JSON object with
	 * status 200 is accepted. */
	const char *required_key;
	/** Prints the answer in plain text. */
	void (*print)(gn_ctl_t *ctl, const json_t *object);
} gn_ctl_view_t;

/**
 * Sends a query and prints its answer, as JSON if --json is given.
 * @param view prints the answer as plain text
 * @return an exit code
 */
int gn_ctl_run_query(gn_ctl_t *ctl, const char *path,
		     const gn_ctl_view_t *view);

#endif
