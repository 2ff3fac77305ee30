/**
 * @file fake_kv.h
 * @brief An in-process client of the key-value service with seeded faults.
 *
 * Several fakes over one kv_state_t are several processes that talk to one
 * service. Requests and answers travel for a random time on the paused clock
 * and so overtake each other; fake_kv_run() delivers what is due.
 */
#ifndef GN_TESTS_FAKE_KV_H
#define GN_TESTS_FAKE_KV_H

#include "common/clock.h"
#include "support/kv_state.h"

/** Faults of one client's way to the service; chances are 0..1. */
typedef struct fake_kv_faults_s {
	uint32_t delay_min_us; /**< of each request and each answer */
	uint32_t delay_max_us;
	uint32_t timeout_us; /**< after which the client gives up */
	double late; /**< chance that a request travels up to 3 timeouts */
	double lose_answer; /**< chance that the answer never comes */
	double drop_request; /**< chance that the request never arrives */
	double older_read; /**< chance that a read sees a past state */
	bool down; /**< the service refuses all calls */
	bool cut; /**< nothing arrives, nothing comes back */
	bool frozen; /**< the client is paused: no callback runs */
} fake_kv_faults_t;

/** What really happened; for tests that must show their faults occurred. */
typedef struct fake_kv_counts_s {
	uint64_t calls, writes, late, lost, dropped, older, refused, cut;
} fake_kv_counts_t;

typedef struct fake_kv_s fake_kv_t;

/** A client without faults, 1 ms each way, timeout 2 s. */
fake_kv_t *fake_kv_create(kv_state_t *state, const gn_clock_t *clock,
			  guint32 seed);
void fake_kv_free(fake_kv_t *fake);

/** The client's table. */
gn_kv_t *fake_kv_client(fake_kv_t *fake);

/** The faults, to be set at any time. */
fake_kv_faults_t *fake_kv_faults(fake_kv_t *fake);

const fake_kv_counts_t *fake_kv_counts(const fake_kv_t *fake);

/** Calls whose callback has not run yet. */
size_t fake_kv_pending(const fake_kv_t *fake);

/** The client's process dies: no callback runs, sent requests still arrive. */
void fake_kv_crash(fake_kv_t *fake);

/** Delivers all that is due by now. */
void fake_kv_run(fake_kv_t *fake);

#endif
