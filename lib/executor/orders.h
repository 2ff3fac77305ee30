/**
 * @file orders.h
 * @brief The leader's orders in progress at one worker.
 *
 * This module does no I/O. Orders of the leader, answers of the worker and its
 * lists arrive as function calls; calls to the worker and outcomes for the
 * leader leave through callbacks. Time is read from a clock that tests can
 * pause.
 *
 * Starts are idempotent, so a start is repeated until a response arrives. No
 * start is sent long after the leader ordered it, since the leader may have
 * given up the claim by then.
 *
 * The leader releases the claim of a start that is reported as refused, and may
 * have repeated the order before it learns of the refusal. So the attempt is
 * closed at the worker first: a stop makes the worker refuse this attempt from
 * then on, whoever orders it, also after a restart of the executor. A run is
 * gone once a whole list requested after the stop doesn't show it.
 */
#ifndef GN_EXECUTOR_ORDERS_H
#define GN_EXECUTOR_ORDERS_H

#include <talloc.h>

#include "adapter/adapter.h"
#include "common/clock.h"
#include "executor/grant.h"
#include "job/life.h"

typedef struct gn_orders_s gn_orders_t;

/** An order in progress. */
typedef struct gn_order_s {
	gn_orders_t *orders;
	gn_run_order_kind_t kind;
	char task[GN_TASK_NAME_SIZE];
	uint32_t attempt;
	/** Life that the leader names; interned ID. */
	gn_life_t life;
	char *payload; /**< Free with g_free(). */
	size_t payload_len; /**< Length of the payload, bytes. */
	char *checkpoint; /**< Free with g_free(). */
	char *ticket; /**< Free with g_free(). */
	uint32_t percent; /**< Only for a pace: percent of full speed. */
	uint32_t sent_percent; /**< The percent of the last call. */
	bool call_pending; /**< A call for this order is in progress. */
	/** No more calls are sent; a list decides the outcome. */
	bool awaits_list;
	/** Whether the run is there is unknown; it is kept if it is. */
	bool check_only;
	/** Stop the run, or drop the order, once the call has ended. */
	bool cancelled;
	/** Outcome to report once the list doesn't show the run. */
	gn_run_order_outcome_t stop_outcome;
	/** Only a list requested at this time or later decides the outcome. */
	uint64_t awaits_list_since_us;
	uint64_t next_call_us; /**< Earliest time of the next call. */
	/** When the newest report was sent that the leader knew. */
	uint64_t basis_us;
	unsigned tries; /**< Number of calls sent for this kind of order. */
	unsigned calls; /**< Number of all calls sent. */
	uint64_t token; /**< Fencing token of the last call; 0 without one. */
	bool open_logged; /**< That a start call has no answer was logged. */
} gn_order_t;

/** A call in progress; its order isn't freed before. */
typedef struct gn_order_call_s {
	gn_order_t *order;
	void *arg; /**< The argument of the callbacks. */
	gn_worker_call_kind_t kind;
	uint64_t sent_us;
	/** Number of lives that the sender had known. */
	uint64_t lives;
	/** The worker's clock, as it was known then. */
	uint64_t clock_ms;
} gn_order_call_t;

/** Callbacks of the orders. */
typedef struct gn_orders_ops_s {
	/**
	 * Sends a call to the worker. Pass its outcome and @p sent to
	 * gn_orders_handle_answer().
	 * @return false if it cannot be sent; @p sent is then freed
	 */
	bool (*send_call)(void *arg, gn_worker_call_t *call,
			  unsigned timeout_ms, gn_order_call_t *sent);
	/** Reports the outcome of an order to the leader. */
	void (*report)(void *arg, const gn_order_t *order,
		       gn_run_order_outcome_t outcome);
	/** Logs that an order is taken up, or drops the line. */
	void (*log_taken)(void *arg, const gn_order_t *order);
	/** Logs that an order is dropped without an outcome because of the life
	 * that it names, or drops the line. */
	void (*log_dropped)(void *arg, const gn_order_t *order,
			    const char *why);
} gn_orders_ops_t;

/**
 * Creates the orders of a worker; NULL if out of memory.
 * @param clock must outlive the orders
 * @param grant lease of the worker; must outlive the orders
 * @param late_us longest time after which a call without an answer is carried
 *        out
 * @param arg passed to each callback of @p ops
 */
gn_orders_t *gn_orders_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			      gn_grant_t *grant, uint64_t late_us,
			      const gn_orders_ops_t *ops, void *arg);

/**
 * Begins a life of the worker. Orders for the previous one are dropped without
 * an outcome, since its runs are over. Its open start calls are forgotten if the
 * new life has another ID, and so refuses them.
 */
void gn_orders_begin_life(gn_orders_t *orders, gn_life_t life);

/** Returns the life of the worker; its ID is empty before the first one. */
gn_life_t gn_orders_get_life(const gn_orders_t *orders);

/**
 * Refuses starts until the next life, because the worker is leaving. A call names
 * the worker's ID only, so one that is repeated could reach the next process.
 */
void gn_orders_refuse_starts(gn_orders_t *orders);
/**
 * Records that the worker's process is gone, or that it was not. Starts are
 * refused while it is, until the next life. No list follows that could decide
 * those in progress, so a start that has certainly not begun is reported as
 * refused at once, unless a call of an earlier process of the executor may have
 * begun it. The others wait for the next life.
 */
void gn_orders_record_gone(gn_orders_t *orders, bool is_gone);

/**
 * Refuses starts while the data centre is evacuated, as the leader's answers
 * say. Starts in progress are refused, too, unless a list shows their runs; their
 * attempts are closed before the refusal is reported. It holds over the
 * worker's lives.
 */
void gn_orders_set_evacuated(gn_orders_t *orders, bool evacuated);

/**
 * Handles an order of the leader.
 * @param basis_us when the newest report that the leader knew was sent
 */
void gn_orders_handle(gn_orders_t *orders, const Gn__WorkerOrder *message,
		      uint64_t basis_us);

/** Handles the outcome of a call and frees @p sent. */
void gn_orders_handle_answer(gn_order_call_t *sent,
			     gn_worker_call_outcome_t outcome);

/** Decides the orders that await a list, by one requested at @p sent_us. */
void gn_orders_handle_list(gn_orders_t *orders, const gn_worker_answer_t *list,
			   uint64_t sent_us);

/** Returns the time since which a list must be requested to decide all orders
 * that await one; 0 if none does. */
uint64_t gn_orders_list_needed_since_us(const gn_orders_t *orders);

/** Sends the calls that are due, and refuses the starts that cannot begin. */
void gn_orders_tick(gn_orders_t *orders);

/** Whether no start call for this attempt can be under way; see starts.h. */
bool gn_orders_is_settled(const gn_orders_t *orders, const char *task,
			  uint32_t attempt);

/** Whether a start call of this process can be under way. */
bool gn_orders_have_open_starts(const gn_orders_t *orders);
/** Returns the number of attempts with such calls. */
size_t gn_orders_count_open_starts(const gn_orders_t *orders);
/** Returns the time for which a start call of an earlier process of the executor
 * can be under way; 0 if none can. */
uint64_t gn_orders_unknown_starts_us(const gn_orders_t *orders);
/** Returns until when that is; 0 if no such call is possible. */
uint64_t gn_orders_unknown_until_us(const gn_orders_t *orders);

/**
 * Sets open_starts, unknown_starts_ms and lists_open_starts of a report, which
 * has to be sent before the orders change.
 * @param parent talloc parent of the rows
 */
void gn_orders_describe_starts(const gn_orders_t *orders, TALLOC_CTX *parent,
			       Gn__WorkerReport *report);

/** Returns the number of orders in progress. */
size_t gn_orders_count(const gn_orders_t *orders);

#endif
