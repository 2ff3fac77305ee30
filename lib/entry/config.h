/**
 * @file config.h
 * @brief The configuration on an entry: acceptance, use, push to agents.
 */
#ifndef GN_ENTRY_CONFIG_H
#define GN_ENTRY_CONFIG_H

#include "batch/order.h"
#include "config/rules.h"
#include "config/store.h"
#include "entry/entry_internal.h"

struct entry_config_s {
	entry_t *entry;
	gn_store_t *store;
	uint64_t revision; /**< in use */
	gn_inventory_t *inventory; /**< NULL before the first import */
	gn_rules_t *rules; /**< NULL before the first */
	gn_counter_t *accepted;
	gn_counter_t *adopted;
	gn_counter_t *pushed;
	gn_counter_t *fetched;
	uint64_t last_peer_request_us; /**< when a peer was last asked */
	uint64_t
		next_peer_index; /**< the next one to ask, in the record's order */
	uint64_t refused_revision; /**< the last offer that was told of */
};

/** Opens the store; the membership comes before. */
gn_code_t entry_config_open(entry_t *entry);
/** Moves changes and the watch on. */
void entry_config_tick(entry_t *entry);
/** Tells the agent of @p worker what holds for it. */
void entry_config_push(entry_t *entry, const entry_worker_t *worker);

/**
 * Asks a peer for a newer revision while the platform's service is silent, or
 * a worker has one.
 */
void entry_config_fetch_from_peers(entry_t *entry);

/* ======   Queries   ====== */

/** Whether the rules drain the worker's host, by an operator or a window. */
bool entry_config_is_drained(const entry_t *entry,
			     const entry_worker_t *worker);
/** When the worker's rack begins to drain ahead of a window, on the entry's
 * clock; 0: not planned. */
uint64_t entry_config_drain_at_us(const entry_t *entry,
				  const entry_worker_t *worker);
/** Sets quotas, exclusions and the fleet's sizes in @p order. */
void entry_config_apply_to(const entry_t *entry, gn_batch_order_t *order);

/* ======   HTTP   ====== */

/** GET /v1/config. */
void entry_on_config_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** PUT /v1/config/inventory and PUT /v1/config/rules. */
void entry_on_config_put(void *arg, gn_http_request_t *request, gn_str_t name);
/** GET /v1/changes/ID. */
void entry_on_change_get(void *arg, gn_http_request_t *request, gn_str_t name);
/** POST /v1/hosts/NAME/drain. */
void entry_on_host_drain(void *arg, gn_http_request_t *request, gn_str_t name);
/** POST /v1/hosts/NAME/resume. */
void entry_on_host_resume(void *arg, gn_http_request_t *request, gn_str_t name);
/** POST /v1/peers/config: another entry asks for a newer revision. */
void entry_on_peer_config(void *arg, gn_http_request_t *request, gn_str_t name);

#endif
