#include "platform/curl_loop_internal.h"

#include "common/wake_timer.h"

/** Maximum number of idle connections that libcurl keeps open. */
#define IDLE_CONNECTIONS 4L

struct gn_curl_loop_s {
	CURLM *multi;
	struct tevent_context *loop;
	gn_wake_timer_t *timer;
	gn_curl_done_fn_t done;
	void *context;
};

/* A socket of libcurl that the tevent loop watches. */
typedef struct watched_s {
	gn_curl_loop_t *owner;
	struct tevent_fd *event;
	curl_socket_t socket;
} watched_t;

static void handle_ended_transfers(gn_curl_loop_t *loop)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left))) {
		CURL *easy = message->easy_handle;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_multi_remove_handle(loop->multi, easy);
		loop->done(loop->context, easy, code);
	}
}

static void run_socket_action(gn_curl_loop_t *loop, curl_socket_t socket,
			      int flags)
{
	int running;

	curl_multi_socket_action(loop->multi, socket, flags, &running);
	handle_ended_transfers(loop);
}

static void on_timer(void *context)
{
	run_socket_action(context, CURL_SOCKET_TIMEOUT, 0);
}

static void take_event(struct tevent_context *tevent, struct tevent_fd *event,
		       uint16_t flags, void *context)
{
	const watched_t *watched = context;
	int ready = 0;

	(void)tevent;
	(void)event;
	if (flags & TEVENT_FD_READ)
		ready |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		ready |= CURL_CSELECT_OUT;
	run_socket_action(watched->owner, watched->socket, ready);
}

static watched_t *watch_socket(gn_curl_loop_t *loop, curl_socket_t socket)
{
	watched_t *watched = talloc_zero(loop, watched_t);

	if (!watched)
		return NULL;
	watched->owner = loop;
	watched->socket = socket;
	watched->event = tevent_add_fd(loop->loop, watched, socket, 0,
				       take_event, watched);
	if (!watched->event) {
		talloc_free(watched);
		return NULL;
	}
	curl_multi_assign(loop->multi, socket, watched);
	return watched;
}

/* Implements CURLMOPT_SOCKETFUNCTION. */
static int set_socket(CURL *easy, curl_socket_t socket, int what, void *context,
		      void *assigned)
{
	gn_curl_loop_t *loop = context;
	watched_t *watched = assigned;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(loop->multi, socket, NULL);
		talloc_free(watched);
		return 0;
	}
	if (!watched)
		watched = watch_socket(loop, socket);
	if (!watched)
		return -1;
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(watched->event, flags);
	return 0;
}

/* Implements CURLMOPT_TIMERFUNCTION. */
static int set_timer(CURLM *multi, long timeout_ms, void *context)
{
	gn_curl_loop_t *loop = context;

	(void)multi;
	if (timeout_ms < 0)
		gn_wake_timer_stop(loop->timer);
	else
		gn_wake_timer_start(loop->timer,
				    (uint64_t)timeout_ms * GN_US_PER_MS);
	return 0;
}

static int loop_destructor(gn_curl_loop_t *loop)
{
	if (loop->multi)
		curl_multi_cleanup(loop->multi);
	return 0;
}

gn_curl_loop_t *gn_curl_loop_create(TALLOC_CTX *parent,
				    struct tevent_context *tevent,
				    gn_curl_done_fn_t done, void *context)
{
	gn_curl_loop_t *loop = talloc_zero(parent, gn_curl_loop_t);

	if (!loop)
		return NULL;
	talloc_set_destructor(loop, loop_destructor);
	loop->loop = tevent;
	loop->done = done;
	loop->context = context;
	loop->multi = curl_multi_init();
	loop->timer = gn_wake_timer_create(loop, tevent, on_timer, loop);
	if (!loop->multi || !loop->timer) {
		talloc_free(loop);
		return NULL;
	}
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS);
	return loop;
}

CURLMcode gn_curl_loop_add(gn_curl_loop_t *loop, CURL *easy)
{
	return curl_multi_add_handle(loop->multi, easy);
}

void gn_curl_loop_remove(gn_curl_loop_t *loop, CURL *easy)
{
	curl_multi_remove_handle(loop->multi, easy);
}
