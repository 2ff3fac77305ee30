/**
 * @file ctl_outcome.h
 * @brief What became of a change or a query, told to the operator.
 */
#ifndef GN_CTL_OUTCOME_H
#define GN_CTL_OUTCOME_H

#include "ctl/ctl_http.h"

/** A change as the operator sees it. */
typedef struct gn_ctl_change_s {
	const char *description; /**< such as "drain of rey-01" */
	const char *id_name; /**< "change", "job" or "key", with its id */
	const char *id;
	const char *hint; /**< what to do when the outcome is unknown */
	/** A question about the change; only an answer about id counts. */
	bool is_query;
} gn_ctl_change_t;

/**
 * Sends a change and tells its outcome.
 * @return an exit code
 */
int gn_ctl_run_change(gn_ctl_t *ctl, const gn_ctl_request_t *request,
		      const gn_ctl_change_t *change);

/** How the answer of a query is known and printed. */
typedef struct gn_ctl_view_s {
	const char *
		required_key; /**< that an answer has; NULL: any object will do */
	/** Prints the answer in plain text. */
	void (*print)(gn_ctl_t *ctl, const json_t *object);
} gn_ctl_view_t;

/**
 * Sends a query and prints its answer, as JSON if that was asked for.
 * @param view prints it otherwise
 * @return an exit code
 */
int gn_ctl_run_query(gn_ctl_t *ctl, const char *path,
		     const gn_ctl_view_t *view);

#endif
