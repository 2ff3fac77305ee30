/**
 * @file router.h
 * @brief Finds the handler of a request in a table of methods and paths.
 */
#ifndef GN_HTTP_ROUTER_H
#define GN_HTTP_ROUTER_H

#include "common/str.h"
#include "http/server.h"

/**
 * Handles one request and owns it until it is answered.
 * @param name the path's part that the route's "*" stands for, or empty
 */
typedef void (*gn_http_route_handler_t)(void *arg, gn_http_request_t *request,
					gn_str_t name);

/** One row of the table; the last has no path. */
typedef struct gn_http_route_s {
	gn_http_method_t method;
	const char *path; /**< such as "/v1/hosts/" "*" "/drain" */
	gn_http_route_handler_t handler;
} gn_http_route_t;

/**
 * Calls the handler of @p request, or answers 404 or 405.
 */
void gn_http_route(const gn_http_route_t *routes, gn_http_server_t *server,
		   void *arg, gn_http_request_t *request);

#endif
