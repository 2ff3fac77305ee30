/**
 * @file config.h
 * @brief The configuration on an entry: accepting changes, applying them, and
 * pushing them to agents.
 */
#ifndef GN_ENTRY_CONFIG_H
#define GN_ENTRY_CONFIG_H

#include "batch/task_queue.h"
#include "config/rules.h"
#include "config/store.h"
#include "entry/entry_internal.h"

struct entry_config_s {
	entry_t *entry;
	gn_store_t *store;
	uint64_t revision; /**< Revision in use, 0 if none. */
	gn_inventory_t *inventory; /**< NULL until one has been imported. */
	gn_rules_t *rules; /**< NULL until a revision is in use. */
	gn_counter_t *accepted;
	gn_counter_t *adopted;
	gn_counter_t *pushed;
	gn_counter_t *fetched;
	/** When this entry last checked whether to query a peer. */
	uint64_t last_peer_check_us;
	/** Index in the member record, before reduction modulo its length. */
	uint64_t next_peer_index;
	uint64_t refused_revision; /**< Last refused revision logged. */
};

/**
 * Opens the configuration store; the membership must be open.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t entry_config_open(entry_t *entry);
/** Advances pending changes and the watch, and queries peers if needed. */
void entry_config_tick(entry_t *entry);
/**
 * Sends the agent of @p worker the revision in use and whether and when its
 * host drains. Does nothing if there are no rules.
 */
void entry_config_push(entry_t *entry, const entry_worker_t *worker);

/**
 * Requests a newer revision from a peer if the platform's key-value service
 * does not respond or a worker reports a newer revision. Limits its own rate.
 */
void entry_config_fetch_from_peers(entry_t *entry);

/* ======   Queries   ====== */

/** Whether the worker's host drains, for an operator or a window. */
bool entry_config_is_drained(const entry_t *entry,
			     const entry_worker_t *worker);
/**
 * Returns when the worker's rack begins to drain for its next maintenance
 * window, in microseconds of the entry's clock; 0 if no window is planned. If
 * the drain has already begun, this is the current time.
 */
uint64_t entry_config_drain_at_us(const entry_t *entry,
				  const entry_worker_t *worker);
/**
 * Sets the quotas, the exclusions and the size of the largest host in the
 * task queue @p order. Does nothing if there are no rules.
 */
void entry_config_apply_to(const entry_t *entry, gn_task_queue_t *order);

/* ======   HTTP   ====== */

/** Handles GET /v1/config. */
void entry_on_config_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles PUT /v1/config/inventory and PUT /v1/config/rules. */
void entry_on_config_put(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles GET /v1/changes/ID. */
void entry_on_change_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles POST /v1/hosts/NAME/drain. */
void entry_on_host_drain(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles POST /v1/hosts/NAME/resume. */
void entry_on_host_resume(void *arg, gn_http_request_t *request, gn_str_t name);
/** Handles POST /v1/peers/config: a peer requests a newer revision. */
void entry_on_peer_config(void *arg, gn_http_request_t *request, gn_str_t name);

#endif
