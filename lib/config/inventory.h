/**
 * @file inventory.h
 * @brief The operators' inventory: data centres, hosts, links between them.
 *
 * A TOML document, checked whole before it is accepted:
 *
 *     one_way_us = 1000            # between data centres without a [[link]]
 *     [[data_centre]]
 *     name = "reykjavik-a"
 *     region = "is-sudvestur"
 *     [[host]]
 *     name = "rey-01"
 *     data_centre = "reykjavik-a"
 *     rack = "rack-1"
 *     cores = 32
 *     memory_mb = 125000
 *     accelerators = 0             # optional
 *     [[link]]
 *     from = "reykjavik-a"
 *     to = "keflavik-c"
 *     one_way_us = 1200
 *
 * Names are 1..63 letters, digits, '.', '_' and '-'. Indexes follow the order
 * of the document.
 */
#ifndef GN_CONFIG_INVENTORY_H
#define GN_CONFIG_INVENTORY_H

#include <glib.h>
#include <talloc.h>

#include "common/error.h"

/** Most data centres of an inventory. */
#define GN_DATA_CENTRES_MAX 64
/** Most hosts of an inventory. */
#define GN_HOSTS_MAX 32768
/** Most links of an inventory: each pair of data centres once. */
#define GN_LINKS_MAX (GN_DATA_CENTRES_MAX * (GN_DATA_CENTRES_MAX - 1) / 2)
/** One-way delay between data centres where nothing is said, microseconds. */
#define GN_ONE_WAY_DEFAULT_US 1000

/** A data centre. */
typedef struct gn_data_centre_s {
	const char *name;
	const char *region;
} gn_data_centre_t;

/** A host. */
typedef struct gn_host_s {
	const char *name;
	const char *data_centre;
	const char *rack;
	unsigned cores; /**< 1..4096 */
	unsigned memory_mb; /**< 1..16777216 */
	unsigned accelerators; /**< 0..256 */
	unsigned data_centre_index; /**< into data_centres */
	unsigned rack_index; /**< into racks */
} gn_host_t;

/** A rack; its name is unique within its data centre. */
typedef struct gn_rack_s {
	const char *name;
	unsigned data_centre_index; /**< into data_centres */
	unsigned *hosts; /**< indexes into hosts, ascending */
	unsigned host_count; /**< 1 at least */
} gn_rack_t;

/** A link; the delay is the same in both directions. */
typedef struct gn_link_s {
	const char *from;
	const char *to;
	unsigned one_way_us; /**< 1..1000000 */
} gn_link_t;

/** An inventory; a talloc object that never changes once parsed. */
typedef struct gn_inventory_s {
	gn_data_centre_t *data_centres;
	size_t data_centre_count; /**< 1..GN_DATA_CENTRES_MAX */
	gn_host_t *hosts;
	size_t host_count; /**< 1..GN_HOSTS_MAX */
	gn_rack_t *racks; /**< in the order of their first hosts */
	size_t rack_count; /**< 1..host_count */
	gn_link_t *links;
	size_t link_count; /**< 0..GN_LINKS_MAX */
	unsigned one_way_us; /**< 1..1000000, pairs without a link */
	unsigned *delays_us; /**< row by row, one for each pair */
	GHashTable *host_by_name; /**< const char * to gn_host_t * */
	GHashTable *data_centre_by_name; /**< to gn_data_centre_t * */
	GHashTable *rack_by_path; /**< "data_centre/rack" to gn_rack_t * */
} gn_inventory_t;

/**
 * Parses and checks an inventory.
 * @param parent talloc parent of the result
 * @param source the name of the document in errors
 * @param text at most GN_TOML_TEXT_MAX bytes
 * @param inventory set on success, else untouched
 * @param error step "inventory", peer @p source; the detail names the line
 *        where known, else the key; may be NULL
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_inventory_parse(TALLOC_CTX *parent, const char *source,
			     gn_str_t text, gn_inventory_t **inventory,
			     gn_error_t *error);

/** Reads the file at @p path and parses it; GN_ERR_NOT_FOUND, too. */
gn_code_t gn_inventory_load(TALLOC_CTX *parent, const char *path,
			    gn_inventory_t **inventory, gn_error_t *error);

/** The host called @p name, or NULL. */
const gn_host_t *gn_inventory_find_host(const gn_inventory_t *inventory,
					const char *name);

/** The data centre called @p name, or NULL. */
const gn_data_centre_t *
gn_inventory_find_data_centre(const gn_inventory_t *inventory,
			      const char *name);

/** The rack called @p name in @p data_centre, or NULL. */
const gn_rack_t *gn_inventory_find_rack(const gn_inventory_t *inventory,
					const char *data_centre,
					const char *name);

/**
 * The one-way delay between two data centres, microseconds; 0 within one.
 * @param a,b indexes below data_centre_count
 */
unsigned gn_inventory_one_way_us(const gn_inventory_t *inventory, unsigned a,
				 unsigned b);

#endif
