/**
 * @file link.h
 * @brief Links between the system's processes: envelopes over ZeroMQ.
 *
 * An entry listens; an agent connects to each entry. Messages are not queued
 * for a lost peer: a message that can't be sent at once is dropped and counted,
 * and the layers above recover by their own heartbeats and deadlines.
 */
#ifndef GN_WIRE_LINK_H
#define GN_WIRE_LINK_H

#include <talloc.h>
#include <tevent.h>

#include "common/counter.h"
#include "common/error.h"
#include "wire/gypsumnotch.pb-c.h"

typedef struct gn_link_s gn_link_t;

/** Identifies the connection of a peer on the listening side. */
typedef struct gn_link_peer_s {
	uint8_t id[16]; /**< Routing ID of ZeroMQ. */
	size_t len; /**< Length of the id, bytes; 0 on the connecting side. */
} gn_link_peer_t;

/**
 * Called for each valid envelope.
 * @param peer the sender, valid during the call
 * @param envelope valid during the call
 */
typedef void (*gn_link_handler_t)(void *arg, const gn_link_peer_t *peer,
				  const Gn__Envelope *envelope);

/** Configuration of a link. All pointers must outlive the link. */
typedef struct gn_link_config_s {
	struct tevent_context *events;
	void *zmq;
	const char *address; /**< "IP:PORT". */
	/**
	 * A peer that comes back is connected within this time; 0 on the
	 * listening side.
	 */
	unsigned timeout_ms;
	gn_counters_t *counters;
	gn_link_handler_t handler;
	void *arg;
} gn_link_config_t;

/**
 * Listens at the address.
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM (step "listen")
 */
gn_code_t gn_link_listen(TALLOC_CTX *parent, const gn_link_config_t *config,
			 gn_link_t **link, gn_error_t *error);

/**
 * Connects to the address; the connection is made in the background.
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM (step "connect")
 */
gn_code_t gn_link_connect(TALLOC_CTX *parent, const gn_link_config_t *config,
			  gn_link_t **link, gn_error_t *error);

/**
 * Sends @p envelope after setting its version.
 * @param peer the receiver; NULL on the connecting side
 * @return GN_OK, or GN_ERR_UNAVAILABLE if it was not sent
 */
gn_code_t gn_link_send(gn_link_t *link, const gn_link_peer_t *peer,
		       Gn__Envelope *envelope);

#endif
