/**
 * @file drain.h
 * @brief Reads a ZeroMQ socket from a tevent loop until it is empty.
 *
 * The file descriptor of a ZeroMQ socket is edge-triggered, and a send can
 * clear an edge that signals a received message. The socket is therefore read
 * until it is empty after each wake-up and, from an immediate event, after
 * each send.
 */
#ifndef GN_WIRE_DRAIN_H
#define GN_WIRE_DRAIN_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

typedef struct gn_drain_s gn_drain_t;

/** Receives and handles one message; returns false if there is none. */
typedef bool (*gn_drain_receive_t)(void *arg);

/**
 * Starts reading @p socket in @p events, which must both outlive the drain.
 * @return NULL if out of memory
 */
gn_drain_t *gn_drain_create(TALLOC_CTX *parent, struct tevent_context *events,
			    void *socket, gn_drain_receive_t receive,
			    void *arg);

/** Schedules another read of the socket; to be called after each send. */
void gn_drain_schedule(gn_drain_t *drain);

/** Returns the file descriptor of @p socket. */
int gn_drain_fd(void *socket);

#endif
