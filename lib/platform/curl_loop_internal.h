/**
 * @file curl_loop_internal.h
 * @brief libcurl's multi interface driven by a tevent loop.
 */
#ifndef GN_PLATFORM_CURL_LOOP_INTERNAL_H
#define GN_PLATFORM_CURL_LOOP_INTERNAL_H

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct gn_curl_loop_s gn_curl_loop_t;

/** Takes a transfer that has ended and was removed from the loop. */
typedef void (*gn_curl_done_fn_t)(void *context, CURL *easy, CURLcode code);

/** Creates one without transfers; NULL if memory or descriptors are short. */
gn_curl_loop_t *gn_curl_loop_create(TALLOC_CTX *parent,
				    struct tevent_context *loop,
				    gn_curl_done_fn_t done, void *context);

/** Starts @p easy; its end comes from the loop, never from within. */
CURLMcode gn_curl_loop_add(gn_curl_loop_t *loop, CURL *easy);

/** Drops @p easy before its end; its connection is closed. */
void gn_curl_loop_remove(gn_curl_loop_t *loop, CURL *easy);

#endif
