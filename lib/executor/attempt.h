/**
 * @file attempt.h
 * @brief How long a call to the worker may stay unanswered before it is sent
 *        again.
 *
 * A worker on the same host answers within milliseconds, so a call without an
 * answer for much longer is lost. The first repetition comes early, since a job
 * ends with its last task and one lost start delays all of it. Later ones come
 * more slowly, so that a worker that answers nothing is not overloaded.
 *
 * The same holds for the list of runs, without which ends go unnoticed.
 *
 * Load: a share of the calls gets no answer, and wide jobs of short tasks have
 * little time to lose.
 */
#ifndef GN_EXECUTOR_ATTEMPT_H
#define GN_EXECUTOR_ATTEMPT_H

/** Longest timeout, milliseconds. */
#define GN_ATTEMPT_TIMEOUT_MAX_MS 700

/**
 * Returns the timeout of a call in milliseconds.
 * @param attempt number of the call, from 1
 */
unsigned gn_attempt_timeout_ms(unsigned attempt);

#endif
