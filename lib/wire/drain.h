/**
 * @file drain.h
 * @brief Drains a ZeroMQ socket from a tevent loop.
 *
 * A ZeroMQ descriptor is edge-triggered and also swallows its edge when the
 * socket is sent on, so the socket is read until it is empty after each
 * wake-up and again, from an immediate event, after each send.
 */
#ifndef GN_WIRE_DRAIN_H
#define GN_WIRE_DRAIN_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

typedef struct gn_drain_s gn_drain_t;

/** Receives and handles one message; false if none waited. */
typedef bool (*gn_drain_receive_t)(void *arg);

/** Starts draining @p socket in @p events; NULL if memory is short. */
gn_drain_t *gn_drain_create(TALLOC_CTX *parent, struct tevent_context *events,
			    void *socket, gn_drain_receive_t receive,
			    void *arg);

/** Has the socket read once more, soon; call after each send. */
void gn_drain_schedule(gn_drain_t *drain);

/** The descriptor of @p socket. */
int gn_drain_fd(void *socket);

#endif
