/**
 * @file fake_kv.h
 * @brief In-process client of the key-value service with seeded faults.
 *
 * Several fakes on one kv_state_t stand for several processes that use one
 * service. Requests and answers have random delays on the paused clock, so
 * they may be reordered; fake_kv_run() delivers those that are due.
 */
#ifndef GN_TESTS_FAKE_KV_H
#define GN_TESTS_FAKE_KV_H

#include "common/clock.h"
#include "support/kv_state.h"

/** Faults between a client and the service; probabilities are 0..1. */
typedef struct fake_kv_faults_s {
	uint32_t delay_min_us; /**< Least delay of a request or answer. */
	uint32_t delay_max_us; /**< Longest delay of a request or answer. */
	uint32_t timeout_us; /**< Timeout of a call at the client. */
	double late; /**< Probability of a delay of up to 3 timeouts. */
	double lose_answer; /**< Probability that an answer is lost. */
	double drop_request; /**< Probability that a request is lost. */
	double older_read; /**< Probability that a read is stale. */
	bool down; /**< The service refuses all calls. */
	bool cut; /**< All requests and answers are lost. */
	bool frozen; /**< The client is paused and runs no callbacks. */
} fake_kv_faults_t;

/** Counts of calls and faults, for tests that check that faults occurred. */
typedef struct fake_kv_counts_s {
	uint64_t calls, writes, late, lost, dropped, older, refused, cut;
} fake_kv_counts_t;

typedef struct fake_kv_s fake_kv_t;

/** Creates a client without faults, 1 ms delay each way, timeout 2 s. */
fake_kv_t *fake_kv_create(kv_state_t *state, const gn_clock_t *clock,
			  guint32 seed);
void fake_kv_free(fake_kv_t *fake);

/** Returns the client's interface. */
gn_kv_t *fake_kv_client(fake_kv_t *fake);

/** Returns the faults, which may be changed at any time. */
fake_kv_faults_t *fake_kv_faults(fake_kv_t *fake);

const fake_kv_counts_t *fake_kv_counts(const fake_kv_t *fake);

/** Returns the number of calls whose callback has not run yet. */
size_t fake_kv_pending(const fake_kv_t *fake);

/** Crashes the client: no callback runs, but sent requests still arrive. */
void fake_kv_crash(fake_kv_t *fake);

/** Delivers the requests and answers that are due. */
void fake_kv_run(fake_kv_t *fake);

#endif
