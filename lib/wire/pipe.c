#include "wire/pipe.h"

#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <zmq.h>

#include "wire/drain.h"

struct gn_pipe_s {
	void *socket;
	/*
	 * Shared by both ends. ZeroMQ already orders send before receive; the
	 * release and acquire on this counter make the order visible to the
	 * thread sanitizer.
	 */
	atomic_uint *sent_count;
	gn_drain_t *drain;
	gn_pipe_handler_t handler;
	void *arg;
};

static int pipe_destructor(gn_pipe_t *pipe)
{
	if (pipe->socket)
		zmq_close(pipe->socket);
	return 0;
}

static gn_pipe_t *pipe_create(TALLOC_CTX *parent, void *zmq)
{
	const int no_limit = 0;
	gn_pipe_t *pipe = talloc_zero(parent, gn_pipe_t);

	if (!pipe)
		return NULL;
	pipe->socket = zmq_socket(zmq, ZMQ_PAIR);
	if (!pipe->socket) {
		talloc_free(pipe);
		return NULL;
	}
	/* The number of connections limits the items in flight. */
	zmq_setsockopt(pipe->socket, ZMQ_SNDHWM, &no_limit, sizeof(no_limit));
	zmq_setsockopt(pipe->socket, ZMQ_RCVHWM, &no_limit, sizeof(no_limit));
	zmq_setsockopt(pipe->socket, ZMQ_LINGER, &no_limit, sizeof(no_limit));
	talloc_set_destructor(pipe, pipe_destructor);
	return pipe;
}

gn_code_t gn_pipe_open(TALLOC_CTX *parent, void *zmq, gn_pipe_t **control_end,
		       gn_pipe_t **traffic_end, gn_error_t *error)
{
	static atomic_uint serial;
	atomic_uint *sent_count = talloc_zero(parent, atomic_uint);
	char name[sizeof("inproc://pipe-4294967295")];

	snprintf(name, sizeof(name), "inproc://pipe-%u",
		 atomic_fetch_add(&serial, 1));
	*control_end = pipe_create(parent, zmq);
	*traffic_end = pipe_create(parent, zmq);
	if (!*control_end || !*traffic_end || !sent_count) {
		gn_error_set(error, GN_ERR_MEMORY, "open pipe", NULL, "%s",
			     zmq_strerror(zmq_errno()));
		goto fail;
	}
	(*control_end)->sent_count = sent_count;
	(*traffic_end)->sent_count = sent_count;
	if (zmq_bind((*control_end)->socket, name) ||
	    zmq_connect((*traffic_end)->socket, name)) {
		gn_error_set(error, GN_ERR_SYSTEM, "open pipe", name, "%s",
			     zmq_strerror(zmq_errno()));
		goto fail;
	}
	return GN_OK;
fail:
	TALLOC_FREE(*traffic_end);
	TALLOC_FREE(*control_end);
	talloc_free(sent_count);
	return error ? error->code : GN_ERR_SYSTEM;
}

void gn_pipe_send(gn_pipe_t *pipe, void *item)
{
	int sent;

	atomic_fetch_add_explicit(pipe->sent_count, 1, memory_order_release);
	sent = zmq_send(pipe->socket, &item, sizeof(item), ZMQ_DONTWAIT);
	assert(sent == (int)sizeof(item));
	(void)sent;
	/* A send can clear an edge that signals a received item. */
	if (pipe->drain)
		gn_drain_schedule(pipe->drain);
}

void *gn_pipe_receive(gn_pipe_t *pipe)
{
	void *item = NULL;

	if (zmq_recv(pipe->socket, &item, sizeof(item), ZMQ_DONTWAIT) < 0)
		return NULL;
	atomic_load_explicit(pipe->sent_count, memory_order_acquire);
	return item;
}

int gn_pipe_fd(const gn_pipe_t *pipe)
{
	return gn_drain_fd(pipe->socket);
}

static bool receive_one(void *arg)
{
	gn_pipe_t *pipe = arg;
	void *item = gn_pipe_receive(pipe);

	if (item)
		pipe->handler(pipe->arg, item);
	return item != NULL;
}

gn_code_t gn_pipe_attach(gn_pipe_t *pipe, struct tevent_context *events,
			 gn_pipe_handler_t handler, void *arg)
{
	pipe->handler = handler;
	pipe->arg = arg;
	pipe->drain =
		gn_drain_create(pipe, events, pipe->socket, receive_one, pipe);
	return pipe->drain ? GN_OK : GN_ERR_MEMORY;
}
