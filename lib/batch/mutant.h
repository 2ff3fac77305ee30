/**
 * @file mutant.h
 * @brief Mutants: deliberate faults for the randomized tests.
 *
 * GN_MUTANT(name) guards one mutant, which the tests must detect. In the
 * product it is the constant 0; the tests compile these modules with a switch
 * for each name (tests/support/batch_mutants.h).
 */
#ifndef GN_BATCH_MUTANT_H
#define GN_BATCH_MUTANT_H

#ifndef GN_MUTANT
#define GN_MUTANT(name) 0
#endif

#endif
