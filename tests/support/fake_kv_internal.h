/**
 * @file fake_kv_internal.h
 * @brief What the modules of the fake share.
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

/* A call from its start until request and answer are both done with. */
typedef struct call_s {
	gn_kv_call_t id;
	fake_kind_t kind;
	char *key;
	GBytes *value;
	char *change;
	uint64_t revision; /* expected, or watched from */
	uint64_t lease;
	uint32_t limit_ms; /* ttl or wait */
	gn_kv_txn_t txn;
	GPtrArray *owned; /* the strings and rows of the transaction */
	gn_kv_done_t done; /* NULL once called or cancelled */
	void *context;
	uint64_t sent_us;
	uint64_t floor; /* newest revision seen when sent */
	uint64_t arrive_us; /* UINT64_MAX: never */
	uint64_t answer_us; /* UINT64_MAX: never */
	uint64_t give_up_us;
	uint64_t wait_until_us; /* a waiting watch */
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
	uint64_t floor;
	fake_kv_faults_t faults;
	fake_kv_counts_t counts;
};

/** The table of the fake. */
extern const gn_kv_ops_t fake_kv_ops;

/** Starts a call; the caller sets the arguments that its kind has. */
fake_call_t *fake_kv_start(fake_kv_t *fake, fake_kind_t kind, gn_str_t key,
			   gn_kv_done_t done, void *context);

#endif
