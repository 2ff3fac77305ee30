/**
 * @file crash.h
 * @brief Decides whether a task is the cause of the crashes of its workers.
 *
 * Up to some dozens of tasks run on a worker when it crashes, and workers also
 * crash for other reasons. Giving up an innocent task loses a job that could be
 * done; starting a task on that crashes its workers loses all runs beside it
 * each time. So a task that may be the cause is started in isolation, and is
 * given up once its crashes there are very unlikely to be a coincidence.
 *
 * Each crash in isolation is weighed in decibans, ten times the logarithm to
 * the base of 10 of the ratio of its likelihood if the task is the cause to that
 * if it is not. The latter is the chance that the worker crashes on its own while
 * the task begins there, or under another task beside it. The weights of
 * independent crashes add up. No weight is above GN_CRASH_WEIGHT_MAX, so that
 * one crash never suffices.
 *
 * Load: tasks that crash each worker within 20 ms of their start, and machines
 * that crash every few seconds in a small fleet.
 */
#ifndef GN_CRASH_CRASH_H
#define GN_CRASH_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Crashes from which on a task is started in isolation only. */
#define GN_CRASH_ISOLATE_COUNT 3
/** A run that lists have shown for this long did not crash its worker by its
 * start. */
#define GN_CRASH_BEGUN_MS 150
/** A run that was listed for this long has not crashed its worker. */
#define GN_CRASH_HARMLESS_MS 10000
/** A run that was listed for less than this may be the cause of a crash. */
#define GN_CRASH_YOUNG_MS 1000
/** Crashes elsewhere in this time count as evidence for failing machines. */
#define GN_CRASH_FLEET_MS 60000
/** Largest weight of one crash, decibans. */
#define GN_CRASH_WEIGHT_MAX 25

/** Verdict on a task. */
typedef enum gn_crash_verdict_e {
	GN_CRASH_NOT_SUSPECTED,
	/** It is started in isolation if a worker is free for that soon. */
	GN_CRASH_SUSPECT,
	/** It is started in isolation only. */
	GN_CRASH_ISOLATE,
	/** It is given up. */
	GN_CRASH_PROVEN,
} gn_crash_verdict_t;

/** What is known of one crash under a task. */
typedef struct gn_crash_evidence_s {
	bool isolated; /**< The start was in isolation. */
	/** Time for which lists had shown the run, ms; below 0 if its start was
	 * not confirmed. */
	int64_t listed_ms;
	/** Time from the confirmed start, or else from the claim, to the
	 * executor's report of the crash, ms; below 0 if it has not reported
	 * it. */
	int64_t delay_ms;
	/** Calls to start the run have ended without an answer, and no list has
	 * shown it: most likely it has not begun. */
	bool unanswered;
	/** No worker of this host has crashed under the task before. */
	bool new_host;
	/** Crashes of this host without the task in GN_CRASH_FLEET_MS. */
	uint32_t host_crashes;
	/** Crashes elsewhere without a known cause in GN_CRASH_FLEET_MS. Those
	 * that no task which had just begun can have caused count twice. */
	uint32_t elsewhere;
	uint32_t workers; /**< Workers of the fleet. */
	/** Other tasks lost with the worker that have crashes of their own and
	 * had not run for gn_crash_watch_ms() yet. */
	uint32_t rivals;
	/** Other tasks lost with it that had run for less than
	 * GN_CRASH_BEGUN_MS, and others for less than GN_CRASH_YOUNG_MS. */
	uint32_t begun;
	uint32_t young;
	/** Other tasks of the job's step under which workers have crashed in
	 * isolation. */
	uint32_t siblings_crashed;
	/** Other tasks of the step that are done without a crash. */
	uint32_t siblings_done;
} gn_crash_evidence_t;

/** What is kept of the crashes under a task; zero-initialized. */
typedef struct gn_crash_record_s {
	uint32_t count; /**< Crashes. */
	/** Last crashes in a row after a start in isolation. */
	uint32_t isolated;
	/** Those of them whose start was confirmed, each on another host. */
	uint32_t proven;
	/** Longest time for which lists had shown a run that crashed, ms. */
	uint32_t age_ms;
	uint32_t begun; /**< Crashes after a start that was confirmed. */
	uint32_t soon; /**< Crashes known to have followed the start closely. */
	uint32_t weight; /**< Sum of the weights, decibans. */
	/** Highest number of crashes elsewhere at any of the crashes. */
	uint32_t elsewhere;
	bool suspect; /**< The task may be the cause. */
} gn_crash_record_t;

/**
 * Adds a crash to the record.
 * @return its weight, decibans
 */
uint32_t gn_crash_add(gn_crash_record_t *record,
		      const gn_crash_evidence_t *evidence);

/** Forgets the crashes in isolation, since a run has lasted. */
void gn_crash_withdraw_proofs(gn_crash_record_t *record);

gn_crash_verdict_t gn_crash_judge(const gn_crash_record_t *record);

/** Returns the weight that proves the task to be the cause, decibans. */
uint32_t gn_crash_needed_weight(const gn_crash_record_t *record);

/** Time for which a run in isolation is watched, ms. */
int64_t gn_crash_watch_ms(const gn_crash_record_t *record);

/**
 * Writes what was weighed, for the log.
 * @return length of the text, as snprintf() returns it
 */
int gn_crash_describe_evidence(const gn_crash_evidence_t *evidence,
			       uint32_t weight, char *text, size_t size);

#endif
