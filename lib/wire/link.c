#include "wire/link.h"

#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "wire/drain.h"

/** Maximum number of messages queued for one peer. */
#define HIGH_WATER_MARK 4096
/** Maximum size of a message, bytes: a body and its envelope. */
#define MESSAGE_MAX (GN_BODY_MAX + 4096)
/** Limit of a handshake, milliseconds. */
#define HANDSHAKE_MS 2000
/*
 * Divisors of the timeout, which give the first pause between attempts to
 * connect (also the jitter of all pauses), the maximum pause, and the limit of
 * one attempt. A peer that comes back is thus connected within the timeout,
 * with time left for a heartbeat.
 */
#define RECONNECT_DIVISOR 40
#define RECONNECT_MAX_DIVISOR 2
#define CONNECT_DIVISOR 2
/*
 * The heartbeats of the layers above detect a dead connection, and the
 * connecting side replaces it. The listening side only has to close it, for
 * which TCP keepalive needs fewer bytes than the heartbeats of ZMTP.
 */
#define KEEPALIVE_IDLE_S 60
#define KEEPALIVE_INTERVAL_S 20
#define KEEPALIVE_COUNT 3

struct gn_link_s {
	void *socket;
	bool listens;
	gn_drain_t *drain;
	gn_link_handler_t handler;
	void *arg;
	gn_counter_t *sent;
	gn_counter_t *sent_bytes;
	gn_counter_t *dropped;
	gn_counter_t *received;
	gn_counter_t *malformed;
};

static int link_destructor(gn_link_t *link)
{
	if (link->socket)
		zmq_close(link->socket);
	return 0;
}

static void set_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_options(void *socket)
{
	set_option(socket, ZMQ_LINGER, 0);
	set_option(socket, ZMQ_IMMEDIATE, 1);
	set_option(socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
	set_option(socket, ZMQ_RCVHWM, HIGH_WATER_MARK);
	set_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	set_option(socket, ZMQ_TCP_KEEPALIVE, 1);
	set_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
	set_option(socket, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S);
	set_option(socket, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT);
	int64_t size_max = MESSAGE_MAX;

	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &size_max, sizeof(size_max));
}

/* ZeroMQ doubles the pause between attempts from the first to the maximum. */
static void set_reconnect_options(void *socket, unsigned timeout_ms)
{
	int first_ms = (int)(timeout_ms / RECONNECT_DIVISOR);

	set_option(socket, ZMQ_RECONNECT_IVL, first_ms ? first_ms : 1);
	set_option(socket, ZMQ_RECONNECT_IVL_MAX,
		   (int)(timeout_ms / RECONNECT_MAX_DIVISOR));
	set_option(socket, ZMQ_CONNECT_TIMEOUT,
		   (int)(timeout_ms / CONNECT_DIVISOR));
}

/* Reads the routing ID that precedes each message on a listening socket. */
static bool receive_peer(gn_link_t *link, gn_link_peer_t *peer)
{
	int len;

	peer->len = 0;
	if (!link->listens)
		return true;
	len = zmq_recv(link->socket, peer->id, sizeof(peer->id), ZMQ_DONTWAIT);
	if (len < 0)
		return false;
	peer->len =
		(size_t)len < sizeof(peer->id) ? (size_t)len : sizeof(peer->id);
	return true;
}

/* Drops further parts, which are invalid; true if there were none. */
static bool drop_further_parts(gn_link_t *link, zmq_msg_t *message)
{
	bool last = !zmq_msg_more(message);

	while (zmq_msg_more(message))
		if (zmq_msg_recv(message, link->socket, ZMQ_DONTWAIT) < 0)
			break;
	return last;
}

static void handle_message(gn_link_t *link, const gn_link_peer_t *peer,
			   zmq_msg_t *message)
{
	Gn__Envelope *envelope;

	envelope = gn__envelope__unpack(NULL, zmq_msg_size(message),
					zmq_msg_data(message));
	if (!envelope || envelope->version != GN_WIRE_VERSION) {
		gn_counter_inc(link->malformed);
	} else {
		gn_counter_inc(link->received);
		link->handler(link->arg, peer, envelope);
	}
	if (envelope)
		gn__envelope__free_unpacked(envelope, NULL);
}

static bool receive_one(void *arg)
{
	gn_link_t *link = arg;
	gn_link_peer_t peer;
	zmq_msg_t message;

	if (!receive_peer(link, &peer))
		return false;
	zmq_msg_init(&message);
	if (zmq_msg_recv(&message, link->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&message);
		return false;
	}
	if (drop_further_parts(link, &message))
		handle_message(link, &peer, &message);
	else
		gn_counter_inc(link->malformed);
	zmq_msg_close(&message);
	return true;
}

static gn_link_t *link_create(TALLOC_CTX *parent,
			      const gn_link_config_t *config, bool listens)
{
	gn_link_t *link = talloc_zero(parent, gn_link_t);

	if (!link)
		return NULL;
	talloc_set_destructor(link, link_destructor);
	link->listens = listens;
	link->handler = config->handler;
	link->arg = config->arg;
	link->sent = gn_counters_get(config->counters, "link.sent");
	link->sent_bytes = gn_counters_get(config->counters, "link.sent_bytes");
	link->dropped = gn_counters_get(config->counters, "link.dropped");
	link->received = gn_counters_get(config->counters, "link.received");
	link->malformed = gn_counters_get(config->counters, "link.malformed");
	link->socket =
		zmq_socket(config->zmq, listens ? ZMQ_ROUTER : ZMQ_DEALER);
	if (!link->socket || !link->malformed) {
		talloc_free(link);
		return NULL;
	}
	set_options(link->socket);
	if (listens)
		set_option(link->socket, ZMQ_ROUTER_MANDATORY, 1);
	else
		set_reconnect_options(link->socket, config->timeout_ms);
	return link;
}

static gn_code_t link_open(TALLOC_CTX *parent, const gn_link_config_t *config,
			   bool listens, gn_link_t **result, gn_error_t *error)
{
	const char *step = listens ? "listen" : "connect";
	char endpoint[GN_ADDRESS_MAX + sizeof("tcp://")];
	gn_link_t *link = link_create(parent, config, listens);
	int failed;

	if (!link)
		return gn_error_set(error, GN_ERR_MEMORY, step, config->address,
				    "cannot create the socket");
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", config->address);
	failed = listens ? zmq_bind(link->socket, endpoint)
			 : zmq_connect(link->socket, endpoint);
	if (failed) {
		gn_error_set(error, GN_ERR_SYSTEM, step, config->address, "%s",
			     zmq_strerror(zmq_errno()));
		goto fail;
	}
	link->drain = gn_drain_create(link, config->events, link->socket,
				      receive_one, link);
	if (!link->drain) {
		gn_error_set(error, GN_ERR_MEMORY, step, config->address,
			     "out of memory");
		goto fail;
	}
	*result = link;
	return GN_OK;
fail:
	talloc_free(link);
	return error ? error->code : GN_ERR_SYSTEM;
}

gn_code_t gn_link_listen(TALLOC_CTX *parent, const gn_link_config_t *config,
			 gn_link_t **link, gn_error_t *error)
{
	return link_open(parent, config, true, link, error);
}

gn_code_t gn_link_connect(TALLOC_CTX *parent, const gn_link_config_t *config,
			  gn_link_t **link, gn_error_t *error)
{
	return link_open(parent, config, false, link, error);
}

gn_code_t gn_link_send(gn_link_t *link, const gn_link_peer_t *peer,
		       Gn__Envelope *envelope)
{
	zmq_msg_t message;
	size_t size;
	int sent;

	envelope->version = GN_WIRE_VERSION;
	size = gn__envelope__get_packed_size(envelope);
	if (zmq_msg_init_size(&message, size))
		return GN_ERR_UNAVAILABLE;
	gn__envelope__pack(envelope, zmq_msg_data(&message));
	gn_drain_schedule(link->drain);
	if (link->listens && zmq_send(link->socket, peer->id, peer->len,
				      ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
		goto dropped;
	sent = zmq_msg_send(&message, link->socket, ZMQ_DONTWAIT);
	if (sent < 0)
		goto dropped;
	gn_counter_inc(link->sent);
	gn_counter_add(link->sent_bytes, size);
	return GN_OK;
dropped:
	zmq_msg_close(&message);
	gn_counter_inc(link->dropped);
	return GN_ERR_UNAVAILABLE;
}
