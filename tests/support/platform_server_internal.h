/**
 * @file platform_server_internal.h
 * @brief What the modules of the platform stand-in share.
 */
#ifndef GN_TESTS_PLATFORM_SERVER_INTERNAL_H
#define GN_TESTS_PLATFORM_SERVER_INTERNAL_H

#include <microhttpd.h>
#include <pthread.h>

#include "common/clock.h"
#include "support/platform_api.h"
#include "support/platform_faults.h"
#include "support/platform_server.h"

/** What a request waits for. */
typedef enum phase_e {
	PHASE_BODY = 0, /**< the rest of its body */
	PHASE_WATCH, /**< a newer revision */
	PHASE_SLOW, /**< the time of its answer */
	PHASE_HOLE, /**< the end of the black hole, to be closed */
	PHASE_ANSWER, /**< nothing: its answer is ready */
} phase_t;

typedef struct request_s {
	struct MHD_Connection *connection;
	platform_call_t call;
	phase_t phase;
	bool suspended;
	GString *body;
	json_t *json;
	uint64_t due_us;
	uint64_t seen; /* revision a watch was last looked at */
	unsigned status;
	char *answer;
} request_t;

struct platform_server_s {
	struct MHD_Daemon *daemon;
	pthread_t ticker;
	pthread_mutex_t lock;
	gn_clock_t clock;
	kv_state_t *state;
	GHashTable *requests; /* set of request_t */
	platform_faults_t faults;
	uint64_t calls[PLATFORM_CALL_COUNT];
	bool stopping;
};

/* All are called with the lock held. */

/** Resumes the requests that need wait no longer. */
void platform_resume_due(platform_server_t *server);

/** Takes a call whose body is whole; answers it or lets it wait. */
enum MHD_Result platform_take_call(platform_server_t *server,
				   request_t *request);

/** Goes on with a call that was resumed. */
enum MHD_Result platform_resume_call(platform_server_t *server,
				     request_t *request);

/** Answers with @p text as it is. */
enum MHD_Result platform_send_plain(request_t *request, unsigned status,
				    const char *text);

#endif
