/**
 * @file queue_record.h
 * @brief The queue of a job, as it is stored with the job.
 *
 * A job keeps what it has from its queue when the configuration has the queue
 * no more, also under a leader that never knew the queue.
 */
#ifndef GN_QUEUE_QUEUE_RECORD_H
#define GN_QUEUE_QUEUE_RECORD_H

#include "job/job.pb-c.h"
#include "queue/queue.h"

/** Copies a queue. The strings of the copy are interned. */
void gn_queue_copy(gn_queue_t *copy, const gn_queue_t *queue);

/** Whether both give a job the same; the timing of advice does not matter. */
bool gn_queue_equal(const gn_queue_t *a, const gn_queue_t *b);

/**
 * Returns the queue that has taken the place of @p known: the one with its name,
 * else the one with its host and prefix, else NULL.
 */
const gn_queue_t *gn_queues_find_successor(const gn_queues_t *queues,
					   const gn_queue_t *known);

/** Returns a record; free with gn__job_queue__free_unpacked(). */
Gn__JobQueue *gn_queue_to_record(const gn_queue_t *queue);

/** Reads a record. The strings of the queue are interned. */
void gn_queue_from_record(gn_queue_t *queue, const Gn__JobQueue *record);

#endif
