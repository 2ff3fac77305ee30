/**
 * @file newest.h
 * @brief Which reports of an executor are newer than those before.
 *
 * A report that was sent on an earlier connection, or by an earlier process of
 * the executor, can arrive after newer ones. What it says is over.
 */
#ifndef GN_SCHEDULER_NEWEST_H
#define GN_SCHEDULER_NEWEST_H

#include <stdbool.h>
#include <stdint.h>

/** Processes of an executor that are remembered. */
#define GN_NEWEST_PROCESSES_MAX 8

/** The newest report of a process. */
typedef struct gn_newest_process_s {
	uint64_t incarnation;
	uint64_t sequence; /**< 0 if the entry is unused. */
} gn_newest_process_t;

/** The newest report of an executor. Zero-initialized. */
typedef struct gn_newest_s {
	uint64_t sequence; /**< Its number within its process. */
	/** The last processes, in a ring. Which of them began later is unknown:
	 * their incarnations are random. */
	gn_newest_process_t processes[GN_NEWEST_PROCESSES_MAX];
	unsigned process_count;
} gn_newest_t;

/**
 * Records a report unless a newer one of its process came before.
 * @return whether it is the newest one
 */
bool gn_newest_record(gn_newest_t *newest, uint64_t incarnation,
		      uint64_t sequence);

#endif
