/**
 * @file rules_internal.h
 * @brief Declarations shared by the source files of the rules.
 */
#ifndef GN_CONFIG_RULES_INTERNAL_H
#define GN_CONFIG_RULES_INTERNAL_H

#include "config/rules.h"

/** Step name in errors about rules. */
#define GN_RULES_STEP "rules"
/** Size of "data_centre/rack" in bytes, including the terminator. */
#define GN_LOCATION_SIZE (2 * GN_NAME_MAX + 2)
/** Number of exclusions per word of a gn_exclusion_set_t. */
#define GN_EXCLUSION_BITS 64

/** Bit set of the exclusions that contain one workload. */
typedef struct gn_exclusion_set_s {
	uint64_t words[GN_EXCLUSIONS_MAX / GN_EXCLUSION_BITS];
} gn_exclusion_set_t;

/**
 * Formats the key of a rack or data centre in windows_by_location.
 * @param location buffer of GN_LOCATION_SIZE bytes
 * @param rack name of the rack, or NULL for the whole data centre
 */
void gn_rules_format_location(char *location, const char *data_centre,
			      const char *rack);

#endif
