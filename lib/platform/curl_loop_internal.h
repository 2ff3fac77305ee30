/**
 * @file curl_loop_internal.h
 * @brief Drives libcurl's multi interface from a tevent loop.
 */
#ifndef GN_PLATFORM_CURL_LOOP_INTERNAL_H
#define GN_PLATFORM_CURL_LOOP_INTERNAL_H

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct gn_curl_loop_s gn_curl_loop_t;

/**
 * Called for each transfer that has ended.
 * @param easy its handle, already removed from the loop
 */
typedef void (*gn_curl_done_fn_t)(void *context, CURL *easy, CURLcode code);

/**
 * Creates a loop without transfers.
 * @return NULL if out of memory or file descriptors
 */
gn_curl_loop_t *gn_curl_loop_create(TALLOC_CTX *parent,
				    struct tevent_context *loop,
				    gn_curl_done_fn_t done, void *context);

/** Starts @p easy. Its end is reported later, never from within this call. */
CURLMcode gn_curl_loop_add(gn_curl_loop_t *loop, CURL *easy);

/** Aborts @p easy before its end and closes its connection. */
void gn_curl_loop_remove(gn_curl_loop_t *loop, CURL *easy);

#endif
