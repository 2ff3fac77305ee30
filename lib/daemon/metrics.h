/**
 * @file metrics.h
 * @brief HTTP server for counters and histograms, on its own address.
 */
#ifndef GN_DAEMON_METRICS_H
#define GN_DAEMON_METRICS_H

#include "daemon/runtime.h"

/**
 * Serves GET /metrics on the metrics address of the settings as text, with a
 * line "NAME VALUE" for each counter. Does nothing without that address.
 * @param parent talloc parent of the server
 * @return GN_OK, GN_ERR_MEMORY, GN_ERR_INVALID or GN_ERR_SYSTEM
 */
gn_code_t gn_metrics_start(TALLOC_CTX *parent, gn_runtime_t *runtime,
			   gn_error_t *error);

#endif
