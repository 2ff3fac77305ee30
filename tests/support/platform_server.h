/**
 * @file platform_server.h
 * @brief An HTTP stand-in for the platform's key-value service, with faults.
 *
 * Serves the protocol of docs/PLATFORM.md from memory; leases expire on its own
 * clock. It runs in its own threads. The functions of this header may be called
 * from any thread.
 */
#ifndef GN_TESTS_PLATFORM_SERVER_H
#define GN_TESTS_PLATFORM_SERVER_H

#include <jansson.h>

#include "common/error.h"

typedef struct platform_server_s platform_server_t;

/**
 * Starts a server.
 * @param address "IP:PORT"; port 0 selects a free one
 * @return NULL if it cannot listen on the address
 */
platform_server_t *platform_server_start(const char *address);

/** Returns the port on which the server listens. */
uint16_t platform_server_port(const platform_server_t *server);

/**
 * Sets faults, as `POST /fault` does, and leaves those not named.
 * @param faults see docs/PLATFORM.md
 * @return GN_ERR_INVALID for an unknown name or a wrong type; no fault is
 *         changed then
 */
gn_code_t platform_server_set_faults(platform_server_t *server,
				     const json_t *faults);

/**
 * Returns the statistics, as `GET /stats` does. The caller releases them with
 * json_decref().
 */
json_t *platform_server_stats(platform_server_t *server);

/** Closes all connections and frees the server. */
void platform_server_stop(platform_server_t *server);

#endif
