/**
 * @file mutant.h
 * @brief Places where the seeded walks plant a bug that they must catch.
 *
 * In the product GN_MUTANT() is the constant 0. The walks build the decision
 * modules anew with a switch for each name (tests/support/batch_mutants.h).
 */
#ifndef GN_BATCH_MUTANT_H
#define GN_BATCH_MUTANT_H

#ifndef GN_MUTANT
#define GN_MUTANT(name) 0
#endif

#endif
