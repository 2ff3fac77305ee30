/**
 * @file inventory.h
 * @brief The inventory: data centres, hosts and links between data centres.
 *
 * The inventory is a TOML document. It is accepted only if all of it is valid:
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
 * Names consist of 1..63 letters, digits, '.', '_' and '-'. Indexes follow the
 * order of the document.
 */
#ifndef GN_CONFIG_INVENTORY_H
#define GN_CONFIG_INVENTORY_H

#include <glib.h>
#include <talloc.h>

#include "common/error.h"

/** Maximum number of data centres. */
#define GN_DATA_CENTRES_MAX 64
/** Maximum number of hosts. */
#define GN_HOSTS_MAX 32768
/** Maximum number of links: one for each pair of data centres. */
#define GN_LINKS_MAX (GN_DATA_CENTRES_MAX * (GN_DATA_CENTRES_MAX - 1) / 2)
/** Default one-way delay between data centres, in microseconds. */
#define GN_ONE_WAY_DEFAULT_US 1000

typedef struct gn_data_centre_s {
	const char *name;
	const char *region;
} gn_data_centre_t;

typedef struct gn_host_s {
	const char *name;
	const char *data_centre;
	const char *rack;
	unsigned cores; /**< Range 1..4096. */
	unsigned memory_mb; /**< Range 1..16777216. */
	unsigned accelerators; /**< Range 0..256. */
	unsigned data_centre_index; /**< Index into data_centres. */
	unsigned rack_index; /**< Index into racks. */
} gn_host_t;

/** A rack; its name is unique within its data centre. */
typedef struct gn_rack_s {
	const char *name;
	unsigned data_centre_index; /**< Index into data_centres. */
	unsigned *hosts; /**< Indexes into hosts, in ascending order. */
	unsigned host_count; /**< At least 1. */
} gn_rack_t;

/** A link; the delay is the same in both directions. */
typedef struct gn_data_centre_link_s {
	const char *from;
	const char *to;
	unsigned one_way_us; /**< Range 1..1000000. */
} gn_data_centre_link_t;

/** An inventory; a talloc object that is immutable after parsing. */
typedef struct gn_inventory_s {
	gn_data_centre_t *data_centres;
	size_t data_centre_count; /**< Range 1..GN_DATA_CENTRES_MAX. */
	gn_host_t *hosts;
	size_t host_count; /**< Range 1..GN_HOSTS_MAX. */
	gn_rack_t *racks; /**< Racks in the order of their first hosts. */
	size_t rack_count; /**< Range 1..host_count. */
	gn_data_centre_link_t *links;
	size_t link_count; /**< Range 0..GN_LINKS_MAX. */
	unsigned one_way_us; /**< Delay of a pair without a link, 1..1000000. */
	unsigned *delays_us; /**< Matrix of the delays of all pairs, by rows. */
	GHashTable *host_by_name; /**< Maps const char * to gn_host_t *. */
	GHashTable *data_centre_by_name; /**< Maps to gn_data_centre_t *. */
	/** Maps "data_centre/rack" to gn_rack_t *. */
	GHashTable *rack_by_path;
} gn_inventory_t;

/**
 * Parses and checks an inventory.
 * @param parent talloc parent of the result
 * @param source name of the document in errors
 * @param text document of at most GN_TOML_TEXT_MAX bytes
 * @param inventory set on success only
 * @param error set on failure, with step "inventory", peer @p source and the
 *        line, if it is known, or else the key; may be NULL
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE, GN_ERR_MEMORY
 */
gn_code_t gn_inventory_parse(TALLOC_CTX *parent, const char *source,
			     gn_str_t text, gn_inventory_t **inventory,
			     gn_error_t *error);

/**
 * Reads the file at @p path and parses it as gn_inventory_parse() does.
 * @return also GN_ERR_NOT_FOUND and GN_ERR_SYSTEM
 */
gn_code_t gn_inventory_load(TALLOC_CTX *parent, const char *path,
			    gn_inventory_t **inventory, gn_error_t *error);

/** Returns the host called @p name, or NULL. */
const gn_host_t *gn_inventory_find_host(const gn_inventory_t *inventory,
					const char *name);

/** Returns the data centre called @p name, or NULL. */
const gn_data_centre_t *
gn_inventory_find_data_centre(const gn_inventory_t *inventory,
			      const char *name);

/** Returns the rack called @p name in @p data_centre, or NULL. */
const gn_rack_t *gn_inventory_find_rack(const gn_inventory_t *inventory,
					const char *data_centre,
					const char *name);

/**
 * Returns the one-way delay between two data centres in microseconds, which is
 * 0 if they are the same.
 * @param a,b indexes into data_centres
 */
unsigned gn_inventory_one_way_us(const gn_inventory_t *inventory, unsigned a,
				 unsigned b);

#endif
