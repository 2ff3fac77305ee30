/**
 * @file batch_model_internal.h
 * @brief Types and functions shared by the modules of the batch model.
 */
#ifndef GN_TESTS_BATCH_MODEL_INTERNAL_H
#define GN_TESTS_BATCH_MODEL_INTERNAL_H

#include "batch/bucket.h"
#include "batch/promise.h"
#include "batch/worker_tasks.h"
#include "support/batch_model.h"

/** Maximum number of entries: two initial ones and two that come and go. */
#define ENTRIES 4
/** Index of the first entry that is not there from the start. */
#define FIRST_NEWCOMER 2
#define HOSTS 3
#define HOST_SLOTS 3
#define MEMBERS_MAX 64
#define BUCKET 0

/* Durations in microseconds. */
#define KV_LEASE_US (6 * GN_US_PER_S)
#define RENEW_US (4 * GN_US_PER_S)
#define PROMISE_US (5 * GN_US_PER_S)
#define CONFIRM_US (2 * GN_US_PER_S)
#define DRIFT_US (GN_US_PER_S / 2)
#define OUTAGE_MAX_US (40 * GN_US_PER_S)
/**
 * Largest difference of two clock rates in parts per million: rates lie within
 * 1 +- half of it.
 */
#define RATE_PPM 40000

/** Number of the first network node of each kind. */
enum {
	NODE_PLATFORM = 0,
	NODE_ENTRY = 1,
	NODE_AGENT = NODE_ENTRY + ENTRIES,
	NODE_BACKEND = NODE_AGENT + HOSTS,
	NODE_COUNT = NODE_BACKEND + HOSTS
};

typedef enum message_type_e {
	MSG_RENEW,
	MSG_JOIN,
	MSG_REMOVE,
	MSG_READ,
	MSG_WRITE,
	MSG_VIEW, /**< answer to the first three types */
	MSG_READ_ANSWER,
	MSG_WRITE_ANSWER,
	MSG_QUERY,
	MSG_ANSWER,
	MSG_POLL,
	MSG_ORDERS,
	MSG_ACTION,
	MSG_EVENT,
	MSG_LIST,
	MSG_LIST_ANSWER,
} message_type_t;

/** The member record as read from the platform. */
typedef struct view_s {
	uint64_t revision;
	struct {
		uint64_t incarnation;
		uint64_t joined;
		uint64_t acked;
		bool is_live; /**< whether its lease is still valid */
	} members[MEMBERS_MAX];
	size_t count;
	bool is_asker_live;
} view_t;

/** A message; the data that it points to is a talloc child of it. */
typedef struct message_s {
	message_type_t type;
	uint64_t due_us; /**< delivery in true time */
	bool ignores_cuts; /**< delivered even if the path is cut by then */
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation; /**< 0: any incarnation at the node */
	uint64_t sent_us; /**< requester's clock, echoed in the answer */
	uint64_t a, b; /**< arguments that depend on the type */
	gn_code_t code;
	uint64_t revision;
	gn_str_t value;
	bool granted;
	message_type_t answers; /**< MSG_VIEW: the type of the request */
	view_t *view;
	gn_batch_report_t *reports;
	size_t count;
	gn_batch_worker_t worker;
	gn_batch_order_msg_t *orders;
	uint32_t owner_epoch;
	gn_action_t *action;
	gn_backend_run_t *runs;
	gn_run_state_t state;
	const char *checkpoint;
} message_t;

/** The key-value service of the platform. */
typedef struct platform_s {
	bool up;
	bool slow;
	uint64_t changed_us; /**< last change of up, in true time */
	uint64_t revision; /**< revision of the member record */
	struct {
		uint64_t incarnation;
		uint64_t joined;
		uint64_t acked;
		uint64_t lease_until_us;
	} members[MEMBERS_MAX];
	size_t count;
	uint64_t value_revision;
	gn_str_t value;
} platform_t;

/** A result that is reported to a caller once it is durable. */
typedef struct pending_s {
	enum { PENDING_SUBMIT, PENDING_CANCEL } kind;
	uint64_t id;
	uint64_t seq;
	gn_outcome_t outcome;
} pending_t;

/** An earlier incarnation of a process, as entry/membership.h keeps it. */
typedef struct retired_s {
	uint64_t incarnation; /**< 0: none */
	uint64_t dropped_us; /**< time on the clock of the process */
} retired_t;

#define RETIRED_MAX 16

/** Query between entries in addition to gn_promise_query_t. */
#define QUERY_RETIRED 3

typedef struct entry_s {
	int node;
	bool present;
	uint64_t incarnation;
	uint64_t frozen_until_us; /**< end of a freeze in true time */
	gn_clock_t clock;
	double rate;
	gn_promise_t *promise;
	view_t *view;
	gn_batch_bucket_t *bucket;
	uint64_t write_id; /**< outstanding write, 0 if none */
	uint64_t write_sent_us; /**< time on the entry's clock */
	uint64_t read_sent_us; /**< entry's clock, 0 if none is outstanding */
	GArray *pending; /**< elements of pending_t */
	GQueue inbox;
	gn_batch_stats_t counted; /**< statistics already counted */
	retired_t retired[RETIRED_MAX]; /**< ring, lost with the process */
	unsigned retired_next;
} entry_t;

/** A run on a backend server. */
typedef struct backend_run_s {
	uint64_t id;
	uint64_t epoch;
	gn_run_state_t state;
	uint64_t lease_until_us; /**< end of the lease, host's clock */
	uint64_t ends_us; /**< when it ends by itself, host's clock */
	bool fails; /**< whether it ends as failed */
	char checkpoint[32];
} backend_run_t;

typedef struct host_s {
	int agent_node;
	char name[8];
	gn_clock_t clock;
	double rate;
	uint64_t incarnation;
	uint64_t frozen_until_us;
	uint64_t draining_until_us;
	gn_worker_tasks_t *tasks;
	uint64_t backend; /**< incarnation of the backend server */
	GQueue inbox; /**< messages to the agent */
	GHashTable *runs; /**< backend server: id -> backend_run_t */
	uint32_t seen_epoch; /**< highest owner epoch of accepted orders */
	uint64_t counted_epoch; /**< refused_epoch already counted */
	uint64_t counted_late; /**< refused_late already counted */
} host_t;

/** Test oracle for one task: what callers were told and what was started. */
typedef struct task_oracle_s {
	uint64_t id;
	bool is_reported_not_run;
	bool is_reported_done;
	bool is_started;
	uint32_t started_claim; /**< highest claim that was started */
} task_oracle_t;

/**
 * State of the faults that are injected in pairs. They have a random generator
 * of their own, so that walks without them stay the same.
 */
typedef struct pairs_s {
	GRand *rand; /**< NULL in walks without pairs */
	uint64_t in_force_until_us[GN_MODEL_PAIRED_COUNT]; /**< true time */
	int second; /**< second fault that is still to be injected, or -1 */
	uint64_t second_at_us;
	uint64_t outage_ends_us; /**< end of an outage drawn here, or 0 */
	uint64_t cut_ends_us;
	bool lose_write; /**< the next answer to a committed write is lost */
} pairs_t;

struct gn_model_s {
	GRand *rand;
	gn_model_counts_t *counts;
	uint64_t now_us; /**< true time */
	uint64_t step;
	gn_model_bug_t bug;
	pairs_t pairs;
	uint64_t next_incarnation;
	double fault_rate; /**< factor on the fault probabilities */
	double late_rate; /**< share of messages with a long delay */
	double cut_rate; /**< probability of a change of the cuts in a step */
	double isolation_rate; /**< share of cuts that isolate new entries */
	uint64_t no_cuts_until_us; /**< no other cut before this time */
	uint64_t isolate_at_us; /**< when new entries will be isolated, or 0 */
	bool quick; /**< GN_MODEL_QUICK_SEEDS applies to this walk */
	uint64_t reconnect_at_us; /**< when initial entries reconnect, or 0 */
	bool is_isolating; /**< new entries are isolated or about to be */
	bool cut[NODE_COUNT][NODE_COUNT];
	platform_t platform;
	entry_t entries[ENTRIES];
	host_t hosts[HOSTS];
	GPtrArray *network; /**< messages in transit, elements of message_t */
	GHashTable *oracles; /**< id -> task_oracle_t */
	const char *violation;
};

/* ======   Randomness and network   ====== */

bool model_chance(gn_model_t *model, double probability);
int model_pick(gn_model_t *model, int count);
/** Whether entries and agents send their periodic messages in this step. */
bool model_is_send_step(const gn_model_t *model);
/** Records the first violation; @p invariant is a static text. */
void model_report_violation(gn_model_t *model, const char *invariant);

message_t *model_create_message(gn_model_t *model, message_type_t type,
				int from, int to);
/** Sends and takes over a message; it may be delayed, lost or duplicated. */
void model_send(gn_model_t *model, message_t *message);

/** Returns the oracle of a task; creates it if necessary. */
task_oracle_t *model_find_oracle(gn_model_t *model, uint64_t id);

/* ======   Parts   ====== */

void model_platform_handle(gn_model_t *model, message_t *message);
void model_entry_spawn(gn_model_t *model, int index);
void model_entry_remove(gn_model_t *model, int index);
void model_entry_step(gn_model_t *model, entry_t *entry);
void model_serve_callers(gn_model_t *model, entry_t *entry);
void model_host_replace(gn_model_t *model, host_t *host);
void model_agent_restart(gn_model_t *model, host_t *host);
void model_backend_crash(gn_model_t *model, host_t *host);
void model_agent_step(gn_model_t *model, host_t *host);
void model_backend_handle(gn_model_t *model, host_t *host, message_t *message);
void model_backend_step(gn_model_t *model, host_t *host);
void model_faults_step(gn_model_t *model);

void model_pairs_init(gn_model_t *model, uint32_t seed);
/** Injects the paired faults that are due and ends those that are over. */
void model_pairs_step(gn_model_t *model);
/** Counts @p fault as injected and in force until @p until_us. */
void model_pairs_record(gn_model_t *model, gn_model_paired_t fault,
			uint64_t until_us);
/** Records the end of @p fault. */
void model_pairs_end(gn_model_t *model, gn_model_paired_t fault);

/** Returns an entry that considers itself owner of the bucket, or NULL. */
entry_t *model_find_owner(gn_model_t *model);
/** Toggles an outage of the platform. */
void model_change_platform(gn_model_t *model);
/** Cuts the nodes in @p side off from all others, in both directions. */
void model_cut_sides(gn_model_t *model, const bool side[NODE_COUNT]);
void model_end_cuts(gn_model_t *model);
/** Starts new entries and schedules their isolation. */
void model_isolate_newcomers(gn_model_t *model);
/** Restarts an entry that left the record as a new member. */
void model_entry_rejoin(gn_model_t *model, entry_t *entry);

/** Whether the run executes now: it is running and its lease is valid. */
bool model_run_executes(const host_t *host, const backend_run_t *run);

#endif
