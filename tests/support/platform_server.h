/**
 * @file platform_server.h
 * @brief The platform's key-value service as an HTTP stand-in with faults.
 *
 * Serves the protocol of docs/PLATFORM.md out of memory, with leases on its
 * own clock. Runs in threads of its own; the functions here may be called
 * from any thread.
 */
#ifndef GN_TESTS_PLATFORM_SERVER_H
#define GN_TESTS_PLATFORM_SERVER_H

#include <jansson.h>

#include "common/error.h"

typedef struct platform_server_s platform_server_t;

/**
 * Starts to serve.
 * @param address "IP:PORT"; port 0 takes a free one
 * @return NULL if the address can't be listened on
 */
platform_server_t *platform_server_start(const char *address);

/** The port that is listened on. */
uint16_t platform_server_port(const platform_server_t *server);

/**
 * Sets faults, as `POST /fault` does; those not named stay as they are.
 * @param faults see docs/PLATFORM.md
 * @return GN_ERR_INVALID for an unknown name or a wrong type; none is set then
 */
gn_code_t platform_server_set_faults(platform_server_t *server,
				     const json_t *faults);

/** The statistics, as `GET /stats` shows them; json_decref(). */
json_t *platform_server_stats(platform_server_t *server);

/** Closes all connections and frees the server. */
void platform_server_stop(platform_server_t *server);

#endif
