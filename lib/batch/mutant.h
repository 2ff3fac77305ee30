/**
 * @file mutant.h
 * @brief Fault injection points for the randomized model tests.
 *
 * GN_MUTANT(name) guards a planted bug that the tests must detect. In the
 * product it is the constant 0; the tests compile these modules with a switch
 * for each name (tests/support/batch_mutants.h).
 */
#ifndef GN_BATCH_MUTANT_H
#define GN_BATCH_MUTANT_H

#ifndef GN_MUTANT
#define GN_MUTANT(name) 0
#endif

#endif
