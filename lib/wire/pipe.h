/**
 * @file pipe.h
 * @brief Passes items between the control thread and a traffic thread.
 *
 * A pipe is a pair of inproc ZeroMQ sockets. The ownership of an item passes
 * from the sender to the receiver. Items come from malloc(), never from talloc,
 * since a talloc context belongs to one thread.
 */
#ifndef GN_WIRE_PIPE_H
#define GN_WIRE_PIPE_H

#include <talloc.h>
#include <tevent.h>

#include "common/error.h"

/** One end of a pipe, which only one thread may use at a time. */
typedef struct gn_pipe_s gn_pipe_t;

/** Called in the control thread for each item received. */
typedef void (*gn_pipe_handler_t)(void *arg, void *item);

/**
 * Opens both ends, which are allocated under @p parent.
 * @param zmq a ZeroMQ context
 * @param control_end receives the control thread's end; free it last
 * @param traffic_end receives the traffic thread's end
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM
 */
gn_code_t gn_pipe_open(TALLOC_CTX *parent, void *zmq, gn_pipe_t **control_end,
		       gn_pipe_t **traffic_end, gn_error_t *error);

/** Sends @p item, which the other end then owns. Never blocks. */
void gn_pipe_send(gn_pipe_t *pipe, void *item);

/** Receives the next item, which the caller then owns; NULL if none waits. */
void *gn_pipe_receive(gn_pipe_t *pipe);

/**
 * Returns a file descriptor that becomes readable when an item may wait. It is
 * edge-triggered: receive until NULL before waiting for it.
 */
int gn_pipe_fd(const gn_pipe_t *pipe);

/**
 * Makes the loop @p events call @p handler for each received item.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_pipe_attach(gn_pipe_t *pipe, struct tevent_context *events,
			 gn_pipe_handler_t handler, void *arg);

#endif
