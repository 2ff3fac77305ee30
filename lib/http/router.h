/**
 * @file router.h
 * @brief Dispatches a request by a table of methods and paths.
 */
#ifndef GN_HTTP_ROUTER_H
#define GN_HTTP_ROUTER_H

#include "common/str.h"
#include "http/server.h"

/**
 * Handles one request, which it owns until it answers it.
 * @param name part of the path that matches the route's "*", or empty
 */
typedef void (*gn_http_route_handler_t)(void *arg, gn_http_request_t *request,
					gn_str_t name);

/** A row of the table; the path of the last row is NULL. */
typedef struct gn_http_route_s {
	gn_http_method_t method;
	const char *path; /**< For example "/v1/hosts/" "*" "/drain". */
	gn_http_route_handler_t handler;
} gn_http_route_t;

/** Calls the handler for @p request, or answers with 404 or 405. */
void gn_http_route(const gn_http_route_t *routes, gn_http_server_t *server,
		   void *arg, gn_http_request_t *request);

#endif
