#include "outage/outage.h"

#include <stdlib.h>

/** Time for an election, and for the new leader to load all jobs. */
#define ELECTION_US (800 * GN_US_PER_MS)
/**
 * The service is away if it has been silent for this long; a watch call returns
 * after a second at the latest.
 */
#define SILENT_US (1500 * GN_US_PER_MS)
/**
 * It is also away if a call failed and none was answered for this long, which
 * single failed calls do not reach: a leader calls it several times a second,
 * others retry a failed watch call within 0.3 s.
 */
#define FAILING_US (400 * GN_US_PER_MS)
/** Time for the first answer after the start of a process; 0.14 s was seen. */
#define FIRST_ANSWER_US (250 * GN_US_PER_MS)
/** A held request is answered this long before its caller's deadline. */
#define ANSWER_MARGIN_US (200 * GN_US_PER_MS)
/** Share of a caller's remaining time for which it may wait in vain. */
#define WAIT_DIVISOR 4
/**
 * Time beyond a lease after which a leader's answer shows that it reaches the
 * service while this process does not; covers the interval of the calls.
 */
#define ALONE_MARGIN_US (500 * GN_US_PER_MS)
/** Expected rest of an outage whose start was not seen, at least. */
#define UNSEEN_REST_US (2 * GN_US_PER_S)
/** Age up to which a scheduler alone without the service sends callers to the
 * others at once. Later it may be wrong about the others. */
#define ALONE_AGE_US (5 * GN_US_PER_S)
/** Outages of this number within the time below: the end is not trusted. */
#define FLAPS 2
#define FLAP_PERIOD_US (10 * GN_US_PER_S)
/** Earlier outages longer than the present one that make an estimate. */
#define LENGTHS_MIN 2
/**
 * Share of the expected rest after which a refused caller returns, and that may
 * not exceed a wait. Callers
 * have four retries, so they may return early: with this share, rounded up to
 * seconds, the retries of any caller still cover an outage of 10 s and the
 * election after it.
 */
#define RETURN_SHARE 0.65
/**
 * Longest time to return, without the spread. The shortest with which the
 * retries of the earliest callers reach an age of 10.7 s; with longer ones,
 * callers that arrive late in an outage of 10 s miss their objective.
 */
#define FIRST_RETURN_MAX_S 4
/** Interval of the updates of the rate, and weight of the last one. */
#define RATE_INTERVAL_US GN_US_PER_S
#define RATE_WEIGHT 0.3
/**
 * Callers that return in a second, as a multiple of the rate before the outage
 * and at least. New callers keep arriving at that rate beside them.
 */
#define RETURN_FACTOR 2
#define RETURNS_MIN 10

#define MAX(a, b) ((a) > (b) ? (a) : (b))

static uint64_t get_since_us(uint64_t now_us, uint64_t then_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

static uint64_t clamp(uint64_t value, uint64_t min, uint64_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

static bool is_away(const gn_outage_view_t *view)
{
	uint64_t silent_us = get_since_us(view->now_us, view->answered_us);

	if (!view->answered_us)
		return view->failed_us ||
		       get_since_us(view->now_us, view->started_us) >=
			       FIRST_ANSWER_US;
	if (silent_us >= SILENT_US)
		return true;
	return view->failed_us > view->answered_us && silent_us >= FAILING_US;
}

/* ======   State   ====== */

static void record_length(gn_outage_t *outage, uint64_t length_us)
{
	outage->lengths_us[outage->length_count % GN_OUTAGE_LENGTHS] =
		length_us;
	outage->length_count++;
}

gn_outage_change_t gn_outage_update(gn_outage_t *outage,
				    const gn_outage_view_t *view)
{
	bool away = is_away(view);

	if (away == (outage->began_us != 0))
		return GN_OUTAGE_UNCHANGED;
	if (away) {
		outage->began_us = view->answered_us ? view->answered_us
						     : view->started_us;
		outage->refused = 0;
		outage->earliest_s = 0;
		return GN_OUTAGE_BEGAN;
	}
	record_length(outage,
		      get_since_us(view->answered_us, outage->began_us));
	outage->began_us = 0;
	outage->ended_us = view->answered_us;
	return GN_OUTAGE_ENDED;
}

static void update_rate(gn_outage_t *outage, uint64_t now_us)
{
	uint64_t passed_us = get_since_us(now_us, outage->counted_us);
	double rate;

	if (passed_us < RATE_INTERVAL_US)
		return;
	rate = (double)outage->served * GN_US_PER_S / (double)passed_us;
	if (outage->counted_us)
		rate = outage->served_per_s +
		       RATE_WEIGHT * (rate - outage->served_per_s);
	outage->served_per_s = rate;
	outage->served = 0;
	outage->counted_us = now_us;
}

void gn_outage_count_served(gn_outage_t *outage, uint64_t now_us)
{
	outage->served++;
	update_rate(outage, now_us);
}

/* ======   Estimate   ====== */

uint64_t gn_outage_get_end_us(const gn_outage_view_t *view)
{
	uint64_t end_us = view->served_us + view->lease_us + ELECTION_US;

	/* The next renewal of its lease confirms a leader or deposes it. */
	if (view->leads) {
		if (is_away(view) ||
		    get_since_us(view->now_us, view->answered_us) >= FAILING_US)
			return 0;
		return view->answered_us + view->lease_us + ELECTION_US;
	}
	if (!view->served_us || is_away(view) || view->now_us >= end_us)
		return 0;
	return end_us;
}

/* After an outage, the lease of the last leader may have been lost in it, so
 * that the election began with its end. */
static uint64_t get_end_us(const gn_outage_t *outage,
			   const gn_outage_view_t *view)
{
	gn_outage_view_t later = *view;

	if (view->served_us && outage->ended_us > view->served_us)
		later.served_us = outage->ended_us;
	return gn_outage_get_end_us(&later);
}

static bool is_flapping(const gn_outage_t *outage, uint64_t now_us)
{
	uint64_t total_us = 0;

	if (outage->length_count < FLAPS)
		return false;
	for (size_t i = 0; i < FLAPS; i++)
		total_us += outage->lengths_us[(outage->length_count - 1 - i) %
					       GN_OUTAGE_LENGTHS];
	return get_since_us(now_us, outage->ended_us) + total_us <
	       FLAP_PERIOD_US;
}

/* Whether only this scheduler is without the service: a leader that could store
 * jobs was heard just now and well after the service, or neither answers. */
static bool is_alone(const gn_outage_view_t *view)
{
	uint64_t age_us = get_since_us(view->now_us, view->answered_us);
	uint64_t margin_us = view->lease_us + ALONE_MARGIN_US;

	if (!view->answered_us || !is_away(view) || age_us >= ALONE_AGE_US)
		return false;
	if (view->leader_silent)
		return true;
	return view->served_us > view->answered_us + margin_us &&
	       view->now_us < view->served_us + margin_us;
}

static uint64_t get_age_us(const gn_outage_t *outage,
			   const gn_outage_view_t *view)
{
	if (outage->began_us)
		return get_since_us(view->now_us, outage->began_us);
	if ((is_away(view) || view->leads) && view->answered_us)
		return get_since_us(view->now_us, view->answered_us);
	/* The service answers, so only the absence of a leader counts. */
	if (view->served_us)
		return get_since_us(view->now_us,
				    MAX(view->served_us, outage->ended_us));
	return get_since_us(view->now_us, view->started_us);
}

static int compare_lengths(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns the median rest of the earlier outages that lasted longer than
 * @p age_us, or 0 if they are too few. */
static uint64_t get_usual_rest_us(const gn_outage_t *outage, uint64_t age_us)
{
	uint64_t longer[GN_OUTAGE_LENGTHS];
	size_t known = outage->length_count < GN_OUTAGE_LENGTHS
			       ? outage->length_count
			       : GN_OUTAGE_LENGTHS;
	size_t count = 0;

	for (size_t i = 0; i < known; i++) {
		if (outage->lengths_us[i] > age_us)
			longer[count++] = outage->lengths_us[i];
	}
	if (count < LENGTHS_MIN)
		return 0;
	qsort(longer, count, sizeof(*longer), compare_lengths);
	return longer[count / 2] - age_us;
}

static uint64_t estimate_rest_us(const gn_outage_t *outage,
				 const gn_outage_view_t *view, uint64_t age_us)
{
	uint64_t usual_us = get_usual_rest_us(outage, age_us);
	uint64_t rest_us = age_us;

	/* A service that refuses calls runs, and may answer at any time. */
	if (view->failure == GN_OUTAGE_REFUSED &&
	    view->failed_us > view->answered_us)
		rest_us /= 2;
	/* Earlier outages correct the estimate by a factor of 2 at most, so
	 * that unusual ones in a row neither delay callers for long nor use up
	 * their retries. */
	if (usual_us)
		rest_us = clamp(usual_us, age_us / 2, 2 * age_us + GN_US_PER_S);
	if (!view->answered_us && is_away(view) && rest_us < UNSEEN_REST_US)
		rest_us = UNSEEN_REST_US;
	/* The leader's lease ends meanwhile, and an election follows. */
	if (view->leads && age_us + rest_us >= view->lease_us)
		rest_us += ELECTION_US;
	return rest_us;
}

/* ======   Returns   ====== */

static unsigned *get_returns(gn_outage_t *outage, uint64_t second)
{
	gn_outage_slot_t *slot = &outage->slots[second % GN_OUTAGE_SLOTS];

	if (slot->second != second) {
		slot->second = second;
		slot->returns = 0;
	}
	return &slot->returns;
}

static unsigned get_returns_max(const gn_outage_t *outage)
{
	unsigned max = (unsigned)(outage->served_per_s * RETURN_FACTOR);

	return max > RETURNS_MIN ? max : RETURNS_MIN;
}

/* Returns the first second from @p rest_us on that is not full, or the one with
 * the fewest returns, and counts the caller there. */
static unsigned assign_return(gn_outage_t *outage, uint64_t now_us,
			      uint64_t rest_us)
{
	uint64_t first_s = (rest_us + GN_US_PER_S - 1) / GN_US_PER_S;
	uint64_t now_s = now_us / GN_US_PER_S;
	unsigned max = get_returns_max(outage);
	unsigned best_s;

	if (now_s + first_s < outage->earliest_s)
		first_s = outage->earliest_s - now_s;
	first_s = clamp(first_s, GN_OUTAGE_RETRY_MIN_S, FIRST_RETURN_MAX_S);
	outage->earliest_s = now_s + first_s;
	best_s = (unsigned)first_s;
	for (unsigned s = best_s; s <= GN_OUTAGE_RETRY_MAX_S; s++) {
		if (*get_returns(outage, now_s + s) <
		    *get_returns(outage, now_s + best_s))
			best_s = s;
		if (*get_returns(outage, now_s + best_s) < max)
			break;
	}
	++*get_returns(outage, now_s + best_s);
	return best_s;
}

/* ======   Decisions   ====== */

/* Returns what the estimate of an outage without a known end rests on. */
static const char *get_basis(const gn_outage_t *outage,
			     const gn_outage_view_t *view, uint64_t age_us)
{
	if (!is_away(view) && !view->leads)
		return "no leader";
	if (!view->answered_us)
		return "never answered";
	return get_usual_rest_us(outage, age_us) ? "earlier outages" : "age";
}

gn_outage_decision_t gn_outage_refuse(gn_outage_t *outage,
				      const gn_outage_view_t *view)
{
	uint64_t end_us = get_end_us(outage, view);
	gn_outage_decision_t decision = { 0 };

	outage->refused++;
	decision.age_us = get_age_us(outage, view);
	if (is_alone(view)) {
		decision.retry_after_s = GN_OUTAGE_RETRY_MIN_S;
		decision.basis = "alone";
		return decision;
	}
	if (end_us) {
		decision.estimate_us = end_us - view->now_us;
		decision.basis = "election";
	} else {
		decision.estimate_us =
			estimate_rest_us(outage, view, decision.age_us);
		decision.basis = get_basis(outage, view, decision.age_us);
	}
	decision.retry_after_s = assign_return(
		outage, view->now_us,
		end_us ? decision.estimate_us
		       : (uint64_t)(RETURN_SHARE *
				    (double)decision.estimate_us));
	return decision;
}

static gn_outage_decision_t hold_until(const gn_outage_t *outage,
				       const gn_outage_view_t *view,
				       uint64_t until_us, uint64_t estimate_us,
				       const char *basis)
{
	const gn_outage_decision_t decision = { .hold = true,
						.until_us = until_us,
						.age_us = get_age_us(outage,
								     view),
						.estimate_us = estimate_us,
						.basis = basis };

	return decision;
}

uint64_t gn_outage_get_limit_us(uint64_t remaining_us)
{
	return remaining_us / WAIT_DIVISOR;
}

gn_outage_decision_t gn_outage_check(const gn_outage_t *outage,
				     const gn_outage_view_t *view,
				     uint64_t remaining_us)
{
	const gn_outage_decision_t refusal = { 0 };
	uint64_t end_us = get_end_us(outage, view);
	uint64_t limit_us = gn_outage_get_limit_us(remaining_us);
	uint64_t rest_us;

	if (view->held >= GN_OUTAGE_HELD_MAX ||
	    view->held_bytes >= GN_OUTAGE_HELD_BYTES_MAX || is_alone(view))
		return refusal;
	if (end_us && !is_flapping(outage, view->now_us)) {
		if (end_us + ANSWER_MARGIN_US > view->now_us + remaining_us)
			return refusal;
		return hold_until(outage, view, end_us, end_us - view->now_us,
				  "election");
	}
	/* No leader was ever known, or the election has taken too long. */
	if (!end_us && !is_away(view) && !view->leads)
		return refusal;
	rest_us = end_us ? end_us - view->now_us
			 : estimate_rest_us(outage, view,
					    get_age_us(outage, view));
	if (RETURN_SHARE * (double)rest_us > (double)limit_us)
		return refusal;
	return hold_until(outage, view, view->now_us + limit_us, rest_us,
			  end_us ? "flapping" : "age");
}

gn_outage_decision_t gn_outage_decide(gn_outage_t *outage,
				      const gn_outage_view_t *view,
				      uint64_t remaining_us)
{
	gn_outage_decision_t decision =
		gn_outage_check(outage, view, remaining_us);

	return decision.hold ? decision : gn_outage_refuse(outage, view);
}

bool gn_outage_waits_for_store(const gn_outage_t *outage,
			       const gn_outage_view_t *view,
			       uint64_t remaining_us)
{
	return !outage->began_us ||
	       gn_outage_check(outage, view, remaining_us).hold;
}

bool gn_outage_keeps_holding(const gn_outage_t *outage,
			     const gn_outage_view_t *view, uint64_t until_us,
			     uint64_t deadline_us)
{
	if (view->now_us + ANSWER_MARGIN_US >= deadline_us)
		return false;
	if (is_alone(view))
		return false;
	if (view->now_us < until_us)
		return true;
	return get_end_us(outage, view) != 0 &&
	       !is_flapping(outage, view->now_us);
}
