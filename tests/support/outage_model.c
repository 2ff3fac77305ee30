#include "support/outage_model.h"

#include <string.h>

#define MS GN_US_PER_MS
#define STEP_US (10 * MS)
/** Start of the first outage; the rate is known by then. */
#define OUTAGE_US (10 * GN_US_PER_S)
#define SUBMISSIONS_PER_S 50
/** Submissions that the system stores in a second. */
#define STORED_PER_S 150
#define LEASE_US (1000 * MS)
/** Longest interval of calls to the service, and their time-out. */
#define CALL_INTERVAL_US (300 * MS)
#define CALL_TIMEOUT_US (1000 * MS)
/** Time of a watch call that hangs, which is longer. */
#define WATCH_TIMEOUT_US (1000 * MS)
/** For the calls of an election, and for loading all jobs. */
#define ELECTION_US (400 * MS)
#define REMAINING_US (3 * GN_US_PER_S)
#define OBJECTIVE_US (6 * GN_US_PER_S)
/** Time after the last outage in which callers keep arriving. */
#define AFTER_US (5 * GN_US_PER_S)
#define DOWN_US (600 * MS)
/** Delay after a connection that is refused by a scheduler that restarts. */
#define RECONNECT_US (1 * GN_US_PER_S)
#define CALLERS_MAX 8192
/** Callers with less time than this do not try again. */
#define PATIENCE_MIN_US (200 * MS)

typedef struct model_caller_s {
	uint64_t first_us; /* First try. */
	uint64_t due_us; /* Next try; 0: none. */
	unsigned tries;
	/* Of the present try. */
	unsigned scheduler;
	uint64_t arrived_us;
	uint64_t until_us;
} model_caller_t;

typedef struct model_scheduler_s {
	gn_outage_t state;
	gn_outage_view_t view;
	uint64_t next_call_us;
	bool call_hangs; /* The last call was sent and gets no answer. */
	uint64_t reached_since_us; /* Reaches the service since; 0: not. */
	uint64_t down_until_us;
	GQueue held; /* model_caller_t, in the order of arrival. */
	uint64_t last_served_arrival_us;
} model_scheduler_t;

typedef struct model_s {
	const outage_model_case_t *c;
	const outage_model_rule_t *rule;
	GRand *rand;
	uint64_t now_us;
	model_scheduler_t schedulers[OUTAGE_MODEL_SCHEDULERS];
	unsigned leader;
	uint64_t confirmed_us; /* Last answer of the service to the leader. */
	uint64_t serves_from_us; /* When the leader has loaded all jobs. */
	GQueue queue; /* Submissions that wait for the store. */
	double credit; /* Submissions that may be stored now. */
	model_caller_t callers[CALLERS_MAX];
	double delay_sum_s;
	unsigned returns; /* In the present 100 ms. */
	outage_model_result_t result;
} model_t;

/* ======   Faults   ====== */

static unsigned count_outages(const outage_model_case_t *c)
{
	return c->outages ? c->outages : 1;
}

static bool is_outage(const model_t *m)
{
	uint64_t period_us = m->c->length_us + m->c->pause_us;
	uint64_t since_us;

	if (m->now_us < OUTAGE_US)
		return false;
	since_us = m->now_us - OUTAGE_US;
	return since_us / period_us < count_outages(m->c) &&
	       since_us % period_us < m->c->length_us;
}

static uint64_t get_last_end_us(const model_t *m)
{
	uint64_t period_us = m->c->length_us + m->c->pause_us;

	return OUTAGE_US + count_outages(m->c) * period_us - m->c->pause_us;
}

static bool reaches_service(const model_t *m, unsigned scheduler)
{
	return !is_outage(m) ||
	       (m->c->cut_off >= 0 && scheduler != (unsigned)m->c->cut_off);
}

static bool has_link(const model_t *m, unsigned scheduler)
{
	if (scheduler == m->leader || m->c->cut_off < 0 || !m->c->loses_links ||
	    !is_outage(m))
		return true;
	return scheduler != (unsigned)m->c->cut_off &&
	       m->leader != (unsigned)m->c->cut_off;
}

static bool leader_serves(const model_t *m)
{
	return m->now_us >= m->serves_from_us &&
	       m->now_us < m->confirmed_us + LEASE_US;
}

/* ======   Ends of tries   ====== */

static void serve(model_t *m, model_caller_t *caller)
{
	model_scheduler_t *s = &m->schedulers[caller->scheduler];

	if (caller->arrived_us < s->last_served_arrival_us)
		m->result.overtaken++;
	s->last_served_arrival_us =
		MAX(s->last_served_arrival_us, caller->arrived_us);
	gn_outage_count_served(&s->state, m->now_us);
	m->result.served++;
	m->delay_sum_s += (double)(m->now_us - caller->first_us) / GN_US_PER_S;
	if (m->now_us - caller->first_us <= OBJECTIVE_US)
		m->result.in_time++;
}

/* Shortens the delay of a caller that would give up meanwhile. Returns false if
 * it gives up now. */
static bool limit_by_patience(const model_t *m, const model_caller_t *caller,
			      uint64_t *delay_us)
{
	uint64_t end_us = caller->first_us + m->c->patience_us;

	if (!m->c->patience_us)
		return true;
	if (m->now_us + PATIENCE_MIN_US > end_us)
		return false;
	*delay_us = MIN(*delay_us, (end_us - m->now_us) / 2);
	return true;
}

static void return_later(model_t *m, model_caller_t *caller, uint64_t delay_us)
{
	m->result.refusals++;
	if (caller->tries > OUTAGE_MODEL_RETRIES ||
	    !limit_by_patience(m, caller, &delay_us)) {
		m->result.refused_for_good++;
		return;
	}
	caller->due_us = m->now_us + delay_us;
}

static void refuse(model_t *m, model_caller_t *caller, unsigned retry_after_s)
{
	g_assert_cmpuint(retry_after_s, >=, 1);
	if (m->now_us > caller->arrived_us + REMAINING_US)
		m->result.timeouts++;
	return_later(m, caller, retry_after_s * GN_US_PER_S);
}

/* ======   Schedulers   ====== */

static void take(model_t *m, model_caller_t *caller)
{
	model_scheduler_t *s = &m->schedulers[caller->scheduler];
	gn_outage_decision_t decision;

	const model_scheduler_t *leader = &m->schedulers[m->leader];

	if (leader_serves(m) && has_link(m, caller->scheduler) &&
	    m->rule->waits_for_store(&leader->state, &leader->view,
				     REMAINING_US)) {
		g_queue_push_tail(&m->queue, caller);
		return;
	}
	decision = m->rule->decide(&s->state, &s->view, REMAINING_US);
	if (!decision.hold) {
		refuse(m, caller, decision.retry_after_s);
		return;
	}
	caller->until_us = decision.until_us;
	s->view.held++;
	g_queue_push_tail(&s->held, caller);
}

static uint64_t draw_interval_us(model_t *m)
{
	return (uint64_t)g_rand_int_range(m->rand, CALL_INTERVAL_US / 2,
					  CALL_INTERVAL_US);
}

static void call_service(model_t *m, unsigned number)
{
	model_scheduler_t *s = &m->schedulers[number];

	if (m->now_us < s->next_call_us)
		return;
	if (s->call_hangs)
		s->view.failed_us = m->now_us;
	s->call_hangs = false;
	s->next_call_us = m->now_us + draw_interval_us(m);
	if (reaches_service(m, number)) {
		s->view.answered_us = m->now_us;
		if (!s->reached_since_us)
			s->reached_since_us = m->now_us;
		return;
	}
	s->reached_since_us = 0;
	s->view.failure = m->c->failure;
	if (m->c->failure == GN_OUTAGE_NO_ANSWER) {
		s->call_hangs = true;
		s->next_call_us = m->now_us + CALL_TIMEOUT_US;
	} else {
		s->view.failed_us = m->now_us;
	}
}

static void serve_held(model_t *m, unsigned number)
{
	model_scheduler_t *s = &m->schedulers[number];
	model_caller_t *caller;

	while (leader_serves(m) && has_link(m, number) &&
	       (caller = g_queue_pop_head(&s->held))) {
		s->view.held--;
		g_queue_push_tail(&m->queue, caller);
	}
}

static void end_waits(model_t *m, unsigned number)
{
	model_scheduler_t *s = &m->schedulers[number];

	for (GList *item = s->held.head; item;) {
		GList *next = item->next;
		model_caller_t *caller = item->data;

		if (!m->rule->keeps_holding(
			    &s->state, &s->view, caller->arrived_us,
			    caller->until_us,
			    caller->arrived_us + REMAINING_US)) {
			g_queue_delete_link(&s->held, item);
			s->view.held--;
			refuse(m, caller,
			       m->rule->refuse(&s->state, &s->view)
				       .retry_after_s);
		}
		item = next;
	}
}

static void tick_scheduler(model_t *m, unsigned number)
{
	model_scheduler_t *s = &m->schedulers[number];

	s->view.now_us = m->now_us;
	if (m->now_us < s->down_until_us)
		return;
	call_service(m, number);
	if (leader_serves(m) && has_link(m, number))
		s->view.served_us = m->now_us;
	s->view.leads = number == m->leader && m->now_us >= m->serves_from_us;
	s->view.leader_silent = !has_link(m, number);
	gn_outage_update(&s->state, &s->view);
	serve_held(m, number);
	end_waits(m, number);
}

static void restart_schedulers(model_t *m)
{
	if (!m->c->restarts ||
	    m->now_us != OUTAGE_US + m->c->length_us / 2 / STEP_US * STEP_US)
		return;
	for (unsigned i = 1; i <= 2; i++) {
		model_scheduler_t *s = &m->schedulers[i];
		model_caller_t *caller;

		while ((caller = g_queue_pop_head(&s->held)))
			return_later(m, caller, RECONNECT_US);
		memset(s, 0, sizeof(*s));
		s->down_until_us = m->now_us + DOWN_US;
		s->view.started_us = s->down_until_us;
		s->view.lease_us = LEASE_US;
	}
}

/* ======   Leader   ====== */

/*
 * The last leader acquires its key again once a call of it is answered. Others
 * learn from a watch call, which hangs for longer, that the key is gone.
 */
static bool may_lead(const model_t *m, unsigned number)
{
	const model_scheduler_t *s = &m->schedulers[number];
	uint64_t needed_us = number == m->leader ? 0 : WATCH_TIMEOUT_US;

	if (m->c->recovery_us > needed_us)
		needed_us = m->c->recovery_us;

	return s->reached_since_us && reaches_service(m, number) &&
	       m->now_us >= s->reached_since_us + needed_us;
}

static void elect(model_t *m)
{
	if (m->now_us < m->confirmed_us + LEASE_US)
		return;
	for (unsigned i = 0; i < OUTAGE_MODEL_SCHEDULERS; i++) {
		unsigned number = (m->leader + i) % OUTAGE_MODEL_SCHEDULERS;

		if (!may_lead(m, number))
			continue;
		m->leader = number;
		m->confirmed_us = m->now_us;
		m->serves_from_us = m->now_us + ELECTION_US;
		return;
	}
}

/* Whether the leader's calls are answered, which confirms its leadership. */
static bool is_confirmed(const model_t *m)
{
	return reaches_service(m, m->leader) &&
	       m->schedulers[m->leader].reached_since_us &&
	       m->now_us < m->confirmed_us + LEASE_US;
}

static void run_leader(model_t *m)
{
	model_scheduler_t *s = &m->schedulers[m->leader];

	if (is_confirmed(m)) {
		m->confirmed_us = m->now_us;
		m->credit = MIN(m->credit + (double)STORED_PER_S * STEP_US /
						    GN_US_PER_S,
				5);
		while (m->credit >= 1 && m->now_us >= m->serves_from_us &&
		       m->queue.length) {
			serve(m, g_queue_pop_head(&m->queue));
			m->credit--;
		}
	}
	for (GList *item = m->queue.head; item;) {
		GList *next = item->next;
		model_caller_t *caller = item->data;

		if (m->now_us - caller->arrived_us >=
		    m->rule->get_unsent_limit_us(REMAINING_US)) {
			g_queue_delete_link(&m->queue, item);
			refuse(m, caller,
			       m->rule->refuse(&s->state, &s->view)
				       .retry_after_s);
		}
		item = next;
	}
	elect(m);
}

/* ======   Callers   ====== */

static void try_again(model_t *m, model_caller_t *caller)
{
	caller->due_us = 0;
	caller->tries++;
	caller->arrived_us = m->now_us;
	caller->scheduler =
		(unsigned)g_rand_int_range(m->rand, 0, OUTAGE_MODEL_SCHEDULERS);
	if (m->now_us < m->schedulers[caller->scheduler].down_until_us)
		return_later(m, caller, RECONNECT_US);
	else
		take(m, caller);
}

static void run_callers(model_t *m)
{
	if (m->now_us <= get_last_end_us(m) + AFTER_US &&
	    m->now_us % (GN_US_PER_S / SUBMISSIONS_PER_S) == 0 &&
	    m->result.callers < CALLERS_MAX) {
		model_caller_t *caller = &m->callers[m->result.callers++];

		caller->first_us = m->now_us;
		caller->due_us = m->now_us;
	}
	if (m->now_us % (100 * MS) == 0)
		m->returns = 0;
	for (unsigned i = 0; i < m->result.callers; i++) {
		model_caller_t *caller = &m->callers[i];

		if (!caller->due_us || caller->due_us > m->now_us)
			continue;
		if (caller->tries)
			m->returns++;
		m->result.returns_max = MAX(m->result.returns_max, m->returns);
		try_again(m, caller);
	}
}

static void free_model(model_t *m)
{
	g_queue_clear(&m->queue);
	for (unsigned i = 0; i < OUTAGE_MODEL_SCHEDULERS; i++)
		g_queue_clear(&m->schedulers[i].held);
	g_rand_free(m->rand);
	g_free(m);
}

outage_model_result_t outage_model_run(const outage_model_case_t *c,
				       const outage_model_rule_t *rule)
{
	model_t *m = g_new0(model_t, 1);
	outage_model_result_t result;
	uint64_t end_us;

	m->c = c;
	m->rule = rule;
	m->rand = g_rand_new_with_seed(c->seed);
	m->now_us = STEP_US;
	m->leader = c->cut_off >= 0 && c->leads ? (unsigned)c->cut_off : 0;
	for (unsigned i = 0; i < OUTAGE_MODEL_SCHEDULERS; i++) {
		m->schedulers[i].view.lease_us = LEASE_US;
		m->schedulers[i].view.started_us = STEP_US;
	}
	/* Until the last possible retry has ended. */
	end_us = get_last_end_us(m) + AFTER_US +
		 (OUTAGE_MODEL_RETRIES + 1) *
			 (GN_OUTAGE_RETRY_MAX_S * GN_US_PER_S + REMAINING_US);
	for (; m->now_us < end_us; m->now_us += STEP_US) {
		restart_schedulers(m);
		run_leader(m);
		for (unsigned i = 0; i < OUTAGE_MODEL_SCHEDULERS; i++)
			tick_scheduler(m, i);
		run_callers(m);
	}
	m->result.delay_s = m->delay_sum_s / m->result.served;
	result = m->result;
	free_model(m);
	return result;
}

/* ======   Rules   ====== */

static bool always_waits(const gn_outage_t *state, const gn_outage_view_t *view,
			 uint64_t remaining_us)
{
	(void)state;
	(void)view;
	(void)remaining_us;
	return true;
}

static bool is_election(const gn_outage_view_t *view)
{
	return view->served_us &&
	       view->now_us < view->served_us + view->lease_us + 800 * MS &&
	       view->now_us < view->answered_us + 1500 * MS;
}

static gn_outage_decision_t refuse_constant(gn_outage_t *state,
					    const gn_outage_view_t *view)
{
	const gn_outage_decision_t decision = { .retry_after_s = 1 };

	(void)state;
	(void)view;
	return decision;
}

static gn_outage_decision_t decide_constant(gn_outage_t *state,
					    const gn_outage_view_t *view,
					    uint64_t remaining_us)
{
	gn_outage_decision_t decision = refuse_constant(state, view);

	(void)remaining_us;
	decision.hold = is_election(view);
	return decision;
}

static bool keeps_holding_constant(const gn_outage_t *state,
				   const gn_outage_view_t *view,
				   uint64_t arrived_us, uint64_t until_us,
				   uint64_t deadline_us)
{
	(void)state;
	(void)until_us;
	(void)deadline_us;
	return is_election(view) && view->now_us < arrived_us + 1500 * MS;
}

static uint64_t get_constant_limit_us(uint64_t remaining_us)
{
	(void)remaining_us;
	return 1000 * MS;
}

const outage_model_rule_t outage_model_constant_rule = {
	.name = "constant",
	.decide = decide_constant,
	.waits_for_store = always_waits,
	.keeps_holding = keeps_holding_constant,
	.refuse = refuse_constant,
	.get_unsent_limit_us = get_constant_limit_us,
};

static bool keeps_holding(const gn_outage_t *state,
			  const gn_outage_view_t *view, uint64_t arrived_us,
			  uint64_t until_us, uint64_t deadline_us)
{
	uint64_t limit_us = arrived_us + gn_outage_get_limit_us(REMAINING_US);

	return gn_outage_keeps_holding(state, view, MIN(until_us, limit_us),
				       deadline_us);
}

const outage_model_rule_t outage_model_rule = {
	.name = "outage",
	.decide = gn_outage_decide,
	.waits_for_store = gn_outage_waits_for_store,
	.keeps_holding = keeps_holding,
	.refuse = gn_outage_refuse,
	.get_unsent_limit_us = gn_outage_get_limit_us,
};
