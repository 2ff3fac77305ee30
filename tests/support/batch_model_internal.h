/**
 * @file batch_model_internal.h
 * @brief What the parts of the batch model share.
 */
#ifndef GN_TESTS_BATCH_MODEL_INTERNAL_H
#define GN_TESTS_BATCH_MODEL_INTERNAL_H

#include "batch/bucket.h"
#include "batch/promise.h"
#include "batch/worker_tasks.h"
#include "support/batch_model.h"

/** Two that are there from the start, two that come and go. */
#define ENTRIES 4
#define FIRST_NEWCOMER 2
#define HOSTS 3
#define HOST_SLOTS 3
#define MEMBERS_MAX 64
#define BUCKET 0

/* Lengths, microseconds. */
#define KV_LEASE_US (6 * GN_US_PER_S)
#define RENEW_US (4 * GN_US_PER_S)
#define PROMISE_US (5 * GN_US_PER_S)
#define CONFIRM_US (2 * GN_US_PER_S)
#define DRIFT_US (GN_US_PER_S / 2)
#define DARK_US (40 * GN_US_PER_S)
/** Clock rates lie within 1 +- half of this, parts a million. */
#define RATE_PPM 40000

/** A node of the network: the platform, entries, agents. */
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
	MSG_VIEW, /**< platform's answer to the first three */
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

/** The member record as the platform shows it. */
typedef struct view_s {
	uint64_t revision;
	struct {
		uint64_t incarnation;
		uint64_t joined;
		uint64_t acked;
		bool lives; /**< its lease has not lapsed */
	} members[MEMBERS_MAX];
	size_t count;
	bool asker_lives;
} view_t;

/** One message; what it points to belongs to it. */
typedef struct message_s {
	message_type_t type;
	uint64_t due_us; /**< true time */
	bool past_cuts; /**< held up behind the place where cuts occur */
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation; /**< 0: whoever is there */
	uint64_t sent_us; /**< asker's clock, echoed */
	uint64_t a, b; /**< numbers of the type */
	gn_code_t code;
	uint64_t revision;
	gn_str_t value;
	bool granted;
	message_type_t answers; /**< VIEW: to what */
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

/** The platform's service. */
typedef struct platform_s {
	bool up;
	bool slow;
	uint64_t changed_us; /**< when it last went up or down */
	uint64_t revision; /**< of the member record */
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

/** Something that a caller is told once it is durable. */
typedef struct pending_s {
	enum { PENDING_SUBMIT, PENDING_CANCEL } kind;
	uint64_t id;
	uint64_t seq;
	gn_outcome_t outcome;
} pending_t;

/** A member that a process was, as entry/membership.h keeps it. */
typedef struct retired_s {
	uint64_t incarnation; /**< 0: none */
	uint64_t dropped_us; /**< own clock */
} retired_t;

#define RETIRED_MAX 16

/** What entries ask beside the kinds of the promise rule. */
#define QUERY_RETIRED 3

typedef struct entry_s {
	int node;
	bool present;
	uint64_t incarnation;
	uint64_t frozen_until_us; /**< true time */
	gn_clock_t clock;
	double rate;
	gn_promise_t *promise;
	view_t *view;
	gn_batch_bucket_t *bucket;
	uint64_t write_id; /**< awaited, 0 if none */
	uint64_t write_sent_us; /**< own clock */
	uint64_t read_sent_us; /**< own clock, 0 if none awaited */
	GArray *pending; /**< of pending_t */
	GQueue inbox;
	gn_batch_stats_t counted;
	retired_t retired[RETIRED_MAX]; /**< a ring; goes with the process */
	unsigned retired_next;
} entry_t;

/** A run as the backend server has it. */
typedef struct backend_run_s {
	uint64_t id;
	uint64_t epoch;
	gn_run_state_t state;
	uint64_t lease_until_us; /**< host's clock */
	uint64_t ends_us; /**< host's clock: when it is done by itself */
	bool fails;
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
	GQueue inbox; /**< of the agent */
	GHashTable *runs; /**< the backend server's: id -> backend_run_t */
	uint32_t seen_epoch; /**< highest owner's epoch the agent took */
	uint64_t counted_epoch;
	uint64_t counted_late;
} host_t;

/** What is known of a task outside, for the checks. */
typedef struct truth_s {
	uint64_t id;
	bool told_not_run;
	bool told_done;
	bool started;
	uint32_t started_claim; /**< the highest */
} truth_t;

/** Faults in pairs, drawn apart so that other walks stay as they are. */
typedef struct pairs_s {
	GRand *rand; /**< NULL in walks without */
	uint64_t in_force_until_us[GN_MODEL_PAIRED_COUNT]; /**< true time */
	int second; /**< still to strike, or -1 */
	uint64_t second_at_us;
	uint64_t outage_ends_us; /**< of one that was drawn here, or 0 */
	uint64_t cut_ends_us;
	bool lose_write; /**< the next answer to a write that was made */
} pairs_t;

struct gn_model_s {
	GRand *rand;
	gn_model_counts_t *counts;
	uint64_t now_us; /**< true time */
	uint64_t step;
	gn_model_bug_t bug;
	pairs_t pairs;
	uint64_t next_incarnation;
	double fault_rate; /**< of this walk */
	double late_rate; /**< share of messages that are held up */
	double cut_rate; /**< cuts a step */
	double lone_rate; /**< share of cuts that leave newcomers alone */
	uint64_t hold_until_us; /**< no other cut meanwhile */
	uint64_t lone_at_us; /**< newcomers are left alone then, 0 if not */
	bool quick; /**< all act at every step, messages take one */
	uint64_t heal_at_us; /**< the old entries are back then, 0 if not */
	bool lone; /**< newcomers come, or are alone */
	bool cut[NODE_COUNT][NODE_COUNT];
	platform_t platform;
	entry_t entries[ENTRIES];
	host_t hosts[HOSTS];
	GPtrArray *network; /**< of message_t */
	GHashTable *truths; /**< id -> truth_t */
	const char *violation;
};

/* ======   Chance and network   ====== */

bool model_chance(gn_model_t *model, double probability);
int model_pick(gn_model_t *model, int count);
/** Whether entries and agents send what they send from time to time. */
bool model_is_turn(const gn_model_t *model);
void model_violate(gn_model_t *model, const char *what);

message_t *model_message(gn_model_t *model, message_type_t type, int from,
			 int to);
/** Sends a message with a delay; it may be late, lost, duplicated. */
void model_send(gn_model_t *model, message_t *message);

/** The truth about a task, made if new. */
truth_t *model_truth(gn_model_t *model, uint64_t id);

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
/** Brings about what is due of faults in pairs. */
void model_pairs_step(gn_model_t *model);
/** Notes that @p fault struck and is in force until then. */
void model_pairs_note(gn_model_t *model, gn_model_paired_t fault,
		      uint64_t until_us);
/** Notes that @p fault is over. */
void model_pairs_end(gn_model_t *model, gn_model_paired_t fault);

/** An entry that owns the bucket by its own belief, or NULL. */
entry_t *model_find_owner(gn_model_t *model);
/** Takes the platform down or up. */
void model_change_platform(gn_model_t *model);
/** Cuts @p side off from the others, in both directions. */
void model_cut_sides(gn_model_t *model, const bool side[NODE_COUNT]);
void model_end_cuts(gn_model_t *model);
/** New entries are to come alone. */
void model_start_lone(gn_model_t *model);
/** A process that left the record goes on as a new member. */
void model_entry_rejoin(gn_model_t *model, entry_t *entry);

/** Whether the run is executing now. */
bool model_run_executes(const host_t *host, const backend_run_t *run);

#endif
