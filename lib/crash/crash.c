#include "crash/crash.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

#define MAX_OF(a, b) ((a) > (b) ? (a) : (b))
#define MIN_OF(a, b) ((a) < (b) ? (a) : (b))

/** Executors report a crash this much later, ms: calls have to be refused for
 * 20 ms, and are repeated every 25 ms. */
#define REPORT_MS 50
/** A crash that is not reported has happened by then, since lists are requested
 * again within about a second. */
#define UNREPORTED_MS 1000
/** Crashes of machines that are assumed in GN_CRASH_FLEET_MS, besides those
 * seen. */
#define PRIOR_CRASHES 0.5
/** Chance that another task is the cause: one with crashes, one that had just
 * begun, and one that had run for a while. The last two are the shares of such
 * tasks in tests/support/run_model_jobs.c. */
#define RIVAL_CHANCE 0.5
#define BEGUN_CHANCE 0.03
#define YOUNG_CHANCE 0.003
/** Largest weight of a crash after a confirmed start that the task may not have
 * survived to run, and of one whose start was not confirmed, so that it may not
 * have begun: if the executor has reported the crash, and if not. */
#define UNSEEN_WEIGHT_MAX 18
#define REFUSED_WEIGHT_MAX 5
#define POOR_WEIGHT_MAX 3
/** The same for a crash that was not reported while others crash: a task that
 * crashes its worker leaves the executor, which reports it. */
#define SILENT_WEIGHT_MAX 6
/** Taken off if an earlier run had lasted for longer than this one did: most
 * tasks that crash their workers do so after the same time. */
#define OUTLIVED_WEIGHT 10
/** Weight of the other tasks of the step, either way. */
#define SIBLINGS_WEIGHT 3
/** Weight that proves the cause while no other worker has crashed, and what is
 * added if one has: the crashes of machines make innocent tasks suspects, more
 * of them than there are tasks that crash workers. */
#define PROOF_WEIGHT 35
#define ELSEWHERE_WEIGHT 16
/** Weight that suffices after so many crashes, if LAST_ISOLATED in a row were in
 * isolation. A task must not be started three times more after three crashes,
 * and one of them may have gone unseen. */
#define LATE_COUNT 4
#define LATE_WEIGHT 36
#define LAST_COUNT 5
#define LAST_WEIGHT 11
#define LAST_ISOLATED 2
/** A crash that is reported this soon has followed the start closely. */
#define SOON_MS 150
/** A run of a task with many crashes is watched for that long beyond twice the
 * age at which it was last listed, since a list and its report may be as far
 * apart. */
#define WATCH_LATE_MS 800
#define WATCH_MAX_MS 4000

static double to_decibans(double ratio)
{
	return 10 * log10(ratio);
}

/* Time in which a crash of the worker would have been counted against the
 * task. */
static double get_exposure_ms(const gn_crash_evidence_t *evidence)
{
	int64_t listed_ms = MAX_OF(evidence->listed_ms, 0);

	/* With 0 ms the confirmation and the report came together. */
	return evidence->delay_ms > 0 ? (double)evidence->delay_ms + REPORT_MS
				      : (double)listed_ms + UNREPORTED_MS;
}

static uint32_t get_weight_max(const gn_crash_evidence_t *evidence)
{
	bool is_reported = evidence->delay_ms >= 0;
	bool is_begun = evidence->listed_ms >= 0;

	if (!is_reported && evidence->elsewhere)
		return is_begun ? SILENT_WEIGHT_MAX : 1;
	if (!is_begun)
		return is_reported ? REFUSED_WEIGHT_MAX : POOR_WEIGHT_MAX;
	return evidence->delay_ms > 0 ? GN_CRASH_WEIGHT_MAX : UNSEEN_WEIGHT_MAX;
}

/* Chance of the crash if the task is not the cause. */
static double get_other_chance(const gn_crash_evidence_t *evidence)
{
	double fleet = (evidence->elsewhere + PRIOR_CRASHES) /
		       MAX_OF(evidence->workers, 1U);
	/* A host that crashes again may be faulty itself. */
	double host = evidence->host_crashes + !evidence->new_host;

	return MAX_OF(fleet, host) * get_exposure_ms(evidence) /
		       GN_CRASH_FLEET_MS +
	       RIVAL_CHANCE * evidence->rivals +
	       BEGUN_CHANCE * evidence->begun + YOUNG_CHANCE * evidence->young;
}

static bool is_outlived(const gn_crash_record_t *record,
			const gn_crash_evidence_t *evidence)
{
	return evidence->delay_ms >= 0 && evidence->listed_ms >= 0 &&
	       evidence->delay_ms < (int64_t)record->age_ms;
}

static uint32_t weigh(const gn_crash_record_t *record,
		      const gn_crash_evidence_t *evidence)
{
	double max = get_weight_max(evidence);
	double weight = MIN_OF(-to_decibans(get_other_chance(evidence)), max);

	if (is_outlived(record, evidence))
		weight -= OUTLIVED_WEIGHT;
	if (evidence->siblings_crashed)
		weight += SIBLINGS_WEIGHT;
	else if (evidence->siblings_done)
		weight -= SIBLINGS_WEIGHT;
	return (uint32_t)MAX_OF(MIN_OF(weight, max), 0);
}

uint32_t gn_crash_add(gn_crash_record_t *record,
		      const gn_crash_evidence_t *evidence)
{
	bool is_begun = evidence->listed_ms >= 0;
	bool is_proof = evidence->isolated && !evidence->unanswered;
	uint32_t weight = is_proof ? weigh(record, evidence) : 0;

	record->count++;
	record->begun += is_begun;
	record->soon += evidence->delay_ms >= 0 && evidence->delay_ms < SOON_MS;
	if (is_begun)
		record->age_ms =
			MAX_OF((uint32_t)evidence->listed_ms, record->age_ms);
	if (is_proof)
		record->isolated++;
	else if (!evidence->unanswered)
		record->isolated = 0;
	/* Without a sign that the run began, the worker may have crashed
	 * before. A host that crashes again may be faulty itself. */
	record->proven += evidence->isolated && is_begun && evidence->new_host;
	record->weight += weight;
	record->elsewhere = MAX_OF(record->elsewhere, evidence->elsewhere);
	if (evidence->listed_ms < GN_CRASH_BEGUN_MS)
		record->suspect = true;
	return weight;
}

void gn_crash_withdraw_proofs(gn_crash_record_t *record)
{
	record->isolated = 0;
	record->proven = 0;
	record->weight = 0;
}

uint32_t gn_crash_needed_weight(const gn_crash_record_t *record)
{
	if (record->isolated >= LAST_ISOLATED && record->count >= LAST_COUNT)
		return LAST_WEIGHT;
	if (record->isolated >= LAST_ISOLATED && record->count >= LATE_COUNT)
		return LATE_WEIGHT;
	if (!record->elsewhere)
		return PROOF_WEIGHT;
	return PROOF_WEIGHT + ELSEWHERE_WEIGHT +
	       (uint32_t)(to_decibans(record->elsewhere) / 2);
}

gn_crash_verdict_t gn_crash_judge(const gn_crash_record_t *record)
{
	if (record->weight >= gn_crash_needed_weight(record))
		return GN_CRASH_PROVEN;
	if (record->count >= GN_CRASH_ISOLATE_COUNT)
		return GN_CRASH_ISOLATE;
	return record->suspect ? GN_CRASH_SUSPECT : GN_CRASH_NOT_SUSPECTED;
}

int64_t gn_crash_watch_ms(const gn_crash_record_t *record)
{
	int64_t late_ms = 2 * (int64_t)record->age_ms + WATCH_LATE_MS;

	return record->count < GN_CRASH_ISOLATE_COUNT
		       ? GN_CRASH_BEGUN_MS
		       : MIN_OF(late_ms, WATCH_MAX_MS);
}

int gn_crash_describe_evidence(const gn_crash_evidence_t *evidence,
			       uint32_t weight, char *text, size_t size)
{
	return snprintf(
		text, size,
		"%s, listed %" PRId64 " ms, %sreported after %" PRId64
		" ms, %s host, %u crashes of it, %u elsewhere of %u "
		"workers, %u rivals, %u begun, %u young, step %u crashed %u done, "
		"weight %u",
		evidence->isolated ? "in isolation" : "beside others",
		evidence->listed_ms,
		evidence->unanswered ? "no answer to its start, " : "",
		evidence->delay_ms, evidence->new_host ? "new" : "same",
		evidence->host_crashes, evidence->elsewhere, evidence->workers,
		evidence->rivals, evidence->begun, evidence->young,
		evidence->siblings_crashed, evidence->siblings_done, weight);
}
