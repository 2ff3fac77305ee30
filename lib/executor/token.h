/**
 * @file token.h
 * @brief Fencing token of the calls to one worker.
 *
 * The worker refuses calls with a lower token than it has seen, but its next life
 * under the same ID has seen none. The token is raised once that life may be
 * there, so that its first call fences off those for the former life. The
 * leader gives it a token that is not lower, for all processes of the executor.
 */
#ifndef GN_EXECUTOR_TOKEN_H
#define GN_EXECUTOR_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialized at the start of the process. */
typedef struct gn_token_s {
	uint64_t lowest; /**< Lowest token for the next calls. */
	bool is_raised; /**< It was raised for the next life already. */
} gn_token_t;

/** Returns the token for a call under a leader with this epoch. */
uint64_t gn_token_get(const gn_token_t *token, uint64_t epoch);

/**
 * Raises the token above those of all calls before, once for the next life.
 * @return whether it was raised now
 */
bool gn_token_raise(gn_token_t *token, uint64_t epoch);

/**
 * Records that a call is sent with the present token that would do harm in the next
 * life: it starts a run, extends the lease or discards ends. If the token was
 * raised for that life, the call has to be fenced off, too, so it can be raised
 * once more.
 */
void gn_token_record_call(gn_token_t *token);

/** Returns the highest token that such calls for the present life and former
 * ones may have carried, as far as this process knows. */
uint64_t gn_token_get_former(const gn_token_t *token, uint64_t epoch);

/** The next life has begun. */
void gn_token_begin_life(gn_token_t *token);

#endif
