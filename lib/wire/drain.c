#include "wire/drain.h"

#include <zmq.h>

/** Maximum number of messages handled before the loop handles other events. */
#define BATCH_MAX 256

struct gn_drain_s {
	struct tevent_context *events;
	struct tevent_immediate *again;
	bool scheduled;
	gn_drain_receive_t receive;
	void *arg;
};

static void drain_socket(gn_drain_t *drain)
{
	for (int i = 0; i < BATCH_MAX; i++)
		if (!drain->receive(drain->arg))
			return;
	gn_drain_schedule(drain);
}

static void on_immediate(struct tevent_context *events,
			 struct tevent_immediate *immediate, void *data)
{
	gn_drain_t *drain = data;

	(void)events;
	(void)immediate;
	drain->scheduled = false;
	drain_socket(drain);
}

static void on_readable(struct tevent_context *events, struct tevent_fd *fde,
			uint16_t flags, void *data)
{
	(void)events;
	(void)fde;
	(void)flags;
	drain_socket(data);
}

int gn_drain_fd(void *socket)
{
	int fd = -1;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return fd;
}

gn_drain_t *gn_drain_create(TALLOC_CTX *parent, struct tevent_context *events,
			    void *socket, gn_drain_receive_t receive, void *arg)
{
	gn_drain_t *drain = talloc_zero(parent, gn_drain_t);

	if (!drain)
		return NULL;
	drain->events = events;
	drain->receive = receive;
	drain->arg = arg;
	drain->again = tevent_create_immediate(drain);
	if (!drain->again ||
	    !tevent_add_fd(events, drain, gn_drain_fd(socket), TEVENT_FD_READ,
			   on_readable, drain)) {
		talloc_free(drain);
		return NULL;
	}
	gn_drain_schedule(drain);
	return drain;
}

void gn_drain_schedule(gn_drain_t *drain)
{
	if (drain->scheduled)
		return;
	drain->scheduled = true;
	tevent_schedule_immediate(drain->again, drain->events, on_immediate,
				  drain);
}
