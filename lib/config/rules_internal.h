/**
 * @file rules_internal.h
 * @brief Shared by the files of the rules.
 */
#ifndef GN_CONFIG_RULES_INTERNAL_H
#define GN_CONFIG_RULES_INTERNAL_H

#include "config/rules.h"

/** The step of errors about rules. */
#define GN_RULES_STEP "rules"
/** "data_centre/rack" with its terminator, bytes. */
#define GN_LOCATION_SIZE (2 * GN_NAME_MAX + 2)
/** Exclusions in a word of their set. */
#define GN_EXCLUSION_BITS 64

/** The exclusions that name one kind of work, a bit each. */
typedef struct gn_exclusion_set_s {
	uint64_t words[GN_EXCLUSIONS_MAX / GN_EXCLUSION_BITS];
} gn_exclusion_set_t;

/**
 * Writes the key of a location into @p location of GN_LOCATION_SIZE bytes.
 * @param rack NULL for the whole data centre
 */
void gn_rules_format_location(char *location, const char *data_centre,
			      const char *rack);

#endif
