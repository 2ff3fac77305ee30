/**
 * @file platform_server_internal.h
 * @brief Types and functions shared by the modules of the platform stand-in.
 */
#ifndef GN_TESTS_PLATFORM_SERVER_INTERNAL_H
#define GN_TESTS_PLATFORM_SERVER_INTERNAL_H

#include <microhttpd.h>
#include <pthread.h>

#include "common/clock.h"
#include "support/platform_api.h"
#include "support/platform_faults.h"
#include "support/platform_server.h"

/** The event that a request waits for. */
typedef enum phase_e {
	PHASE_BODY = 0, /**< the rest of the request body */
	PHASE_WATCH, /**< a newer revision */
	PHASE_SLOW, /**< the end of the delay of its answer */
	PHASE_BLACK_HOLE, /**< the end of the black hole; it is then closed */
	PHASE_ANSWER, /**< nothing, the answer is ready */
} phase_t;

typedef struct request_s {
	struct MHD_Connection *connection;
	platform_call_t call;
	phase_t phase;
	bool suspended;
	GString *body;
	json_t *json;
	uint64_t due_us; /**< end of the wait on the server's clock */
	uint64_t seen_revision; /**< revision of a watch's last check */
	unsigned status;
	char *answer;
} request_t;

struct platform_server_s {
	struct MHD_Daemon *daemon;
	pthread_t ticker;
	pthread_mutex_t lock;
	gn_clock_t clock;
	kv_state_t *state;
	GHashTable *requests; /**< set of request_t */
	platform_faults_t faults;
	uint64_t calls[PLATFORM_CALL_COUNT];
	bool stopping;
};

/* The caller of any of these functions holds the lock of the server. */

/** Resumes the requests whose wait is over. */
void platform_resume_due(platform_server_t *server);

/** Processes a call whose body is complete: answers it or suspends it. */
enum MHD_Result platform_start_call(platform_server_t *server,
				    request_t *request);

/** Continues a call that was resumed. */
enum MHD_Result platform_resume_call(platform_server_t *server,
				     request_t *request);

/** Answers with the unchanged @p text. */
enum MHD_Result platform_send_plain(request_t *request, unsigned status,
				    const char *text);

#endif
