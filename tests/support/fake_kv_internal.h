/**
 * @file fake_kv_internal.h
 * @brief Declarations shared by the source files of the fake.
 */
#ifndef GN_TESTS_FAKE_KV_INTERNAL_H
#define GN_TESTS_FAKE_KV_INTERNAL_H

#include "support/fake_kv.h"

typedef enum kind_e {
	KIND_GET,
	KIND_LIST,
	KIND_WATCH,
	KIND_PUT,
	KIND_REMOVE,
	KIND_GRANT,
	KIND_RENEW,
	KIND_REVOKE,
	KIND_TXN,
} fake_kind_t;

/* A call, kept until its request and its answer were delivered or lost. */
typedef struct call_s {
	gn_kv_call_t id;
	fake_kind_t kind;
	char *key;
	GBytes *value;
	char *change;
	uint64_t revision; /* Expected revision, or the one to watch from. */
	uint64_t lease;
	uint32_t limit_ms; /* Time to live of a lease, or wait of a watch. */
	gn_kv_txn_t txn;
	GPtrArray *owned; /* Memory of the transaction's strings and rows. */
	gn_kv_done_t done; /* NULL after it was called or cancelled. */
	void *context;
	uint64_t sent_us;
	uint64_t min_revision; /* Newest revision seen when it was sent. */
	uint64_t arrive_us; /* When the request arrives; UINT64_MAX: never. */
	uint64_t answer_us; /* When the answer arrives; UINT64_MAX: never. */
	uint64_t deadline_us;
	uint64_t wait_until_us; /* End of the wait of a watch. */
	bool applied;
	bool refused;
	kv_answer_t answer;
} fake_call_t;

struct fake_kv_s {
	gn_kv_t kv;
	kv_state_t *state;
	const gn_clock_t *clock;
	GRand *rand;
	GPtrArray *calls;
	gn_kv_call_t last_id;
	uint64_t newest_revision;
	fake_kv_faults_t faults;
	fake_kv_counts_t counts;
};

/** Function table of the fake. */
extern const gn_kv_ops_t fake_kv_ops;

/** Starts a call; the caller then sets the arguments of its kind. */
fake_call_t *fake_kv_start(fake_kv_t *fake, fake_kind_t kind, gn_str_t key,
			   gn_kv_done_t done, void *context);

#endif
