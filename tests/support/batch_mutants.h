/**
 * @file batch_mutants.h
 * @brief Compiles the batch modules with planted bugs that can be switched on.
 *
 * Include it in exactly one source file of a test program. The objects of the
 * program are linked before those of the library, so the model uses these
 * copies. With all switches off, they behave like the product.
 */
#ifndef GN_TESTS_BATCH_MUTANTS_H
#define GN_TESTS_BATCH_MUTANTS_H

#include <stdbool.h>

#define GN_MUTANT(name) (gn_mutants.name)

/** One switch for each planted bug. */
typedef struct gn_mutants_s {
	bool skip_epoch_check;
	bool start_before_claim;
	bool forget_predecessor;
	bool count_from_receipt;
	bool early_move;
	bool blind_write;
	bool promise_while_moving;
	bool no_confirmation;
	bool no_vouching;
	bool adopt_older;
	bool tell_before_durable;
} gn_mutants_t;

static gn_mutants_t gn_mutants;

/* NOLINTBEGIN(bugprone-suspicious-include) */
#include "../../lib/batch/bucket.c"
#include "../../lib/batch/bucket_commit.c"
#include "../../lib/batch/bucket_expiry.c"
#include "../../lib/batch/bucket_poll.c"
#include "../../lib/batch/bucket_state.c"
#include "../../lib/batch/promise.c"
#include "../../lib/batch/promise_peers.c"
#include "../../lib/batch/worker_backend.c"
#include "../../lib/batch/worker_orders.c"
#include "../../lib/batch/worker_tasks.c"
/* NOLINTEND(bugprone-suspicious-include) */

#undef STEP

#endif
