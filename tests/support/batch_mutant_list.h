/**
 * @file batch_mutant_list.h
 * @brief The planted bugs by name; comes after batch_mutants.h.
 */
#ifndef GN_TESTS_BATCH_MUTANT_LIST_H
#define GN_TESTS_BATCH_MUTANT_LIST_H

#include <glib.h>

/** A planted bug. */
typedef struct mutant_s {
	const char *name;
	bool *on; /**< its switch; NULL for the one in the model's entries */
	uint32_t step; /**< walks the seeds step, 2 step, 3 step ... */
	uint32_t walks; /**< walks within which it must be caught */
} mutant_t;

static const mutant_t mutants[] = {
	{ "skip-epoch-check", &gn_mutants.skip_epoch_check, 1, 50 },
	{ "start-before-claim", &gn_mutants.start_before_claim, 1, 50 },
	{ "forget-predecessor", &gn_mutants.forget_predecessor, 4, 600 },
	{ "count-from-receipt", &gn_mutants.count_from_receipt, 1, 600 },
	{ "early-move", &gn_mutants.early_move, 1, 50 },
	{ "blind-write", &gn_mutants.blind_write, 1, 50 },
	{ "promise-while-moving", &gn_mutants.promise_while_moving, 1, 600 },
	{ "no-confirmation", &gn_mutants.no_confirmation, 1, 400 },
	{ "no-vouching", &gn_mutants.no_vouching, 4, 200 },
	{ "adopt-older", &gn_mutants.adopt_older, 4, 600 },
	{ "tell-before-durable", &gn_mutants.tell_before_durable, 1, 50 },
	{ "early-ack", NULL, 4, 200 },
};

static inline const mutant_t *find_mutant(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(mutants); i++) {
		if (g_str_equal(mutants[i].name, name))
			return &mutants[i];
	}
	return NULL;
}

#endif
