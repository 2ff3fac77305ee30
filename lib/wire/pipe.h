/**
 * @file pipe.h
 * @brief Hands owned items between the control thread and a traffic thread.
 *
 * A pipe is a pair of inproc ZeroMQ sockets. Who sends an item gives it up;
 * who receives it owns it. Items come from malloc(), never from talloc, since
 * a talloc context belongs to one thread.
 */
#ifndef GN_WIRE_PIPE_H
#define GN_WIRE_PIPE_H

#include <talloc.h>
#include <tevent.h>

#include "common/error.h"

/** One end of a pipe; used by one thread at a time. */
typedef struct gn_pipe_s gn_pipe_t;

/** Called in the control thread for each item received. */
typedef void (*gn_pipe_handler_t)(void *arg, void *item);

/**
 * Opens both ends, under @p parent. Free the near end last.
 * @param zmq a ZeroMQ context
 * @return GN_OK, GN_ERR_MEMORY or GN_ERR_SYSTEM
 */
gn_code_t gn_pipe_open(TALLOC_CTX *parent, void *zmq, gn_pipe_t **near,
		       gn_pipe_t **far, gn_error_t *error);

/** Sends @p item, which the other end then owns. Never blocks. */
void gn_pipe_send(gn_pipe_t *pipe, void *item);

/** The next item, or NULL if none waits. */
void *gn_pipe_receive(gn_pipe_t *pipe);

/**
 * A descriptor that becomes readable when an item may wait. It is
 * edge-triggered: receive until NULL before waiting on it.
 */
int gn_pipe_fd(const gn_pipe_t *pipe);

/**
 * Has the loop @p events call @p handler for each item.
 * @return GN_OK or GN_ERR_MEMORY
 */
gn_code_t gn_pipe_attach(gn_pipe_t *pipe, struct tevent_context *events,
			 gn_pipe_handler_t handler, void *arg);

#endif
