#include "config/inventory.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "config/file.h"
#include "config/schema.h"

#define STEP "inventory"
#define DELAY_MAX_US 1000000
/** Size of "data_centre/rack" in bytes, including the terminator. */
#define RACK_PATH_SIZE (2 * GN_NAME_MAX + 2)

#define NAME(type, member)                                                  \
	{                                                                   \
		.key = #member, .read = gn_schema_name,                     \
		.offset = offsetof(type, member), .required = GN_SCHEMA_ALL \
	}
#define NUMBER(type, member, low, high, need, value)                           \
	{                                                                      \
		.key = #member, .read = gn_schema_unsigned,                    \
		.offset = offsetof(type, member), .min = (low), .max = (high), \
		.required = (need), .default_value = (value)                   \
	}
#define TABLES(name, type, member, count, low, high, need)                   \
	{                                                                    \
		.key = (name), .read = gn_schema_tables,                     \
		.offset = offsetof(gn_inventory_t, member),                  \
		.count_offset = offsetof(gn_inventory_t, count),             \
		.size = sizeof(type), .fields = type##_fields, .min = (low), \
		.max = (high), .required = (need)                            \
	}
#define LAST                \
	{                   \
		.key = NULL \
	}

static const gn_schema_field_t gn_data_centre_t_fields[] = {
	NAME(gn_data_centre_t, name),
	NAME(gn_data_centre_t, region),
	LAST,
};

static const gn_schema_field_t gn_host_t_fields[] = {
	NAME(gn_host_t, name),
	NAME(gn_host_t, data_centre),
	NAME(gn_host_t, rack),
	NUMBER(gn_host_t, cores, 1, 4096, GN_SCHEMA_ALL, 0),
	NUMBER(gn_host_t, memory_mb, 1, 16777216, GN_SCHEMA_ALL, 0),
	NUMBER(gn_host_t, accelerators, 0, 256, 0, 0),
	LAST,
};

static const gn_schema_field_t gn_data_centre_link_t_fields[] = {
	NAME(gn_data_centre_link_t, from),
	NAME(gn_data_centre_link_t, to),
	NUMBER(gn_data_centre_link_t, one_way_us, 1, DELAY_MAX_US,
	       GN_SCHEMA_ALL, 0),
	LAST,
};

static const gn_schema_field_t inventory_fields[] = {
	NUMBER(gn_inventory_t, one_way_us, 1, DELAY_MAX_US, 0,
	       GN_ONE_WAY_DEFAULT_US),
	TABLES("data_centre", gn_data_centre_t, data_centres, data_centre_count,
	       1, GN_DATA_CENTRES_MAX, GN_SCHEMA_ALL),
	TABLES("host", gn_host_t, hosts, host_count, 1, GN_HOSTS_MAX,
	       GN_SCHEMA_ALL),
	TABLES("link", gn_data_centre_link_t, links, link_count, 0,
	       GN_LINKS_MAX, 0),
	LAST,
};

/* ======   Names and references   ====== */

static unsigned index_of_data_centre(const gn_inventory_t *inventory,
				     const gn_data_centre_t *data_centre)
{
	return (unsigned)(data_centre - inventory->data_centres);
}

static gn_code_t index_data_centres(gn_schema_reader_t *reader,
				    gn_inventory_t *inventory)
{
	for (size_t i = 0; i < inventory->data_centre_count; i++) {
		gn_data_centre_t *data_centre = &inventory->data_centres[i];

		if (!g_hash_table_insert(inventory->data_centre_by_name,
					 (void *)data_centre->name,
					 data_centre))
			return gn_schema_fail_at(
				reader, GN_ERR_INVALID, "data_centre", i,
				"name", "duplicate name %s", data_centre->name);
	}
	return GN_OK;
}

static void format_rack_path(char *path, const char *data_centre,
			     const char *rack)
{
	snprintf(path, RACK_PATH_SIZE, "%s/%s", data_centre, rack);
}

/** Adds @p host to the count of its rack, which is created if necessary. */
static gn_code_t add_to_rack(gn_inventory_t *inventory, gn_host_t *host)
{
	char path[RACK_PATH_SIZE];
	gn_rack_t *rack;

	format_rack_path(path, host->data_centre, host->rack);
	rack = g_hash_table_lookup(inventory->rack_by_path, path);
	if (!rack) {
		char *key = talloc_strdup(inventory, path);

		if (!key)
			return GN_ERR_MEMORY;
		rack = &inventory->racks[inventory->rack_count++];
		rack->name = host->rack;
		rack->data_centre_index = host->data_centre_index;
		g_hash_table_insert(inventory->rack_by_path, key, rack);
	}
	rack->host_count++;
	host->rack_index = (unsigned)(rack - inventory->racks);
	return GN_OK;
}

static gn_code_t index_hosts(gn_schema_reader_t *reader,
			     gn_inventory_t *inventory)
{
	for (size_t i = 0; i < inventory->host_count; i++) {
		gn_host_t *host = &inventory->hosts[i];
		const gn_data_centre_t *data_centre;

		data_centre = gn_inventory_find_data_centre(inventory,
							    host->data_centre);
		if (!data_centre)
			return gn_schema_fail_at(reader, GN_ERR_INVALID, "host",
						 i, "data_centre",
						 "no data centre %s",
						 host->data_centre);
		host->data_centre_index =
			index_of_data_centre(inventory, data_centre);
		if (!g_hash_table_insert(inventory->host_by_name,
					 (void *)host->name, host))
			return gn_schema_fail_at(reader, GN_ERR_INVALID, "host",
						 i, "name", "duplicate name %s",
						 host->name);
		if (add_to_rack(inventory, host))
			return gn_schema_fail(reader, GN_ERR_MEMORY, "host",
					      "out of memory");
	}
	return GN_OK;
}

/** Sets the host indexes of all racks, which share one array. */
static gn_code_t fill_racks(gn_schema_reader_t *reader,
			    gn_inventory_t *inventory)
{
	unsigned *next =
		talloc_array(inventory, unsigned, inventory->host_count);

	if (!next)
		return gn_schema_fail(reader, GN_ERR_MEMORY, "host",
				      "out of memory");
	for (size_t i = 0; i < inventory->rack_count; i++) {
		gn_rack_t *rack = &inventory->racks[i];

		rack->hosts = next;
		next += rack->host_count;
		rack->host_count = 0;
	}
	for (size_t i = 0; i < inventory->host_count; i++) {
		gn_rack_t *rack =
			&inventory->racks[inventory->hosts[i].rack_index];

		rack->hosts[rack->host_count++] = (unsigned)i;
	}
	return GN_OK;
}

/* ======   Delays   ====== */

static unsigned *delay_at(const gn_inventory_t *inventory, size_t a, size_t b)
{
	return &inventory->delays_us[a * inventory->data_centre_count + b];
}

static gn_code_t set_link(gn_schema_reader_t *reader, gn_inventory_t *inventory,
			  size_t i)
{
	const gn_data_centre_link_t *link = &inventory->links[i];
	const gn_data_centre_t *from;
	const gn_data_centre_t *to;
	unsigned a;
	unsigned b;

	from = gn_inventory_find_data_centre(inventory, link->from);
	to = gn_inventory_find_data_centre(inventory, link->to);
	if (!from)
		return gn_schema_fail_at(reader, GN_ERR_INVALID, "link", i,
					 "from", "no data centre %s",
					 link->from);
	if (!to)
		return gn_schema_fail_at(reader, GN_ERR_INVALID, "link", i,
					 "to", "no data centre %s", link->to);
	if (from == to)
		return gn_schema_fail_at(reader, GN_ERR_INVALID, "link", i,
					 "to", "link from %s to itself",
					 link->to);
	a = index_of_data_centre(inventory, from);
	b = index_of_data_centre(inventory, to);
	if (*delay_at(inventory, a, b))
		return gn_schema_fail_at(reader, GN_ERR_INVALID, "link", i,
					 "to", "duplicate link");
	*delay_at(inventory, a, b) = link->one_way_us;
	*delay_at(inventory, b, a) = link->one_way_us;
	return GN_OK;
}

static gn_code_t fill_delays(gn_schema_reader_t *reader,
			     gn_inventory_t *inventory)
{
	size_t count = inventory->data_centre_count;
	gn_code_t code;

	inventory->delays_us =
		talloc_zero_array(inventory, unsigned, count *count);
	if (!inventory->delays_us)
		return gn_schema_fail(reader, GN_ERR_MEMORY, "link",
				      "out of memory");
	for (size_t i = 0; i < inventory->link_count; i++) {
		code = set_link(reader, inventory, i);
		if (code)
			return code;
	}
	for (size_t i = 0; i < count * count; i++)
		if (!inventory->delays_us[i] && i / count != i % count)
			inventory->delays_us[i] = inventory->one_way_us;
	return GN_OK;
}

/* ======   Document   ====== */

static int free_inventory(gn_inventory_t *inventory)
{
	g_hash_table_destroy(inventory->host_by_name);
	g_hash_table_destroy(inventory->data_centre_by_name);
	g_hash_table_destroy(inventory->rack_by_path);
	return 0;
}

static gn_inventory_t *create_inventory(TALLOC_CTX *parent)
{
	gn_inventory_t *result = talloc_zero(parent, gn_inventory_t);

	if (!result)
		return NULL;
	result->host_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	result->data_centre_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	result->rack_by_path = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(result, free_inventory);
	return result;
}

static gn_code_t check_inventory(gn_schema_reader_t *reader,
				 gn_inventory_t *inventory)
{
	gn_code_t code;

	inventory->racks =
		talloc_zero_array(inventory, gn_rack_t, inventory->host_count);
	if (!inventory->racks)
		return gn_schema_fail(reader, GN_ERR_MEMORY, "host",
				      "out of memory");
	code = index_data_centres(reader, inventory);
	if (!code)
		code = index_hosts(reader, inventory);
	if (!code)
		code = fill_racks(reader, inventory);
	if (!code)
		code = fill_delays(reader, inventory);
	return code;
}

gn_code_t gn_inventory_parse(TALLOC_CTX *parent, const char *source,
			     gn_str_t text, gn_inventory_t **inventory,
			     gn_error_t *error)
{
	gn_schema_reader_t reader = { .error = error,
				      .step = STEP,
				      .peer = source,
				      .variant = GN_SCHEMA_ALL };
	gn_toml_t *document = NULL;
	gn_inventory_t *result;
	gn_code_t code;

	result = create_inventory(parent);
	if (!result)
		return gn_error_set(error, GN_ERR_MEMORY, STEP, source,
				    "out of memory");
	reader.owner = result;
	code = gn_schema_parse(&reader, text, &document);
	if (!code)
		code = gn_schema_read(&reader, document, inventory_fields,
				      result);
	talloc_free(document);
	if (!code)
		code = check_inventory(&reader, result);
	if (code) {
		talloc_free(result);
		return code;
	}
	*inventory = result;
	return GN_OK;
}

gn_code_t gn_inventory_load(TALLOC_CTX *parent, const char *path,
			    gn_inventory_t **inventory, gn_error_t *error)
{
	gn_str_t text;
	gn_code_t code;

	code = gn_file_read(NULL, path, GN_TOML_TEXT_MAX, STEP, &text, error);
	if (code)
		return code;
	code = gn_inventory_parse(parent, path, text, inventory, error);
	talloc_free((void *)text.data);
	return code;
}

/* ======   Queries   ====== */

const gn_host_t *gn_inventory_find_host(const gn_inventory_t *inventory,
					const char *name)
{
	return g_hash_table_lookup(inventory->host_by_name, name);
}

const gn_data_centre_t *
gn_inventory_find_data_centre(const gn_inventory_t *inventory, const char *name)
{
	return g_hash_table_lookup(inventory->data_centre_by_name, name);
}

const gn_rack_t *gn_inventory_find_rack(const gn_inventory_t *inventory,
					const char *data_centre,
					const char *name)
{
	char path[RACK_PATH_SIZE];

	format_rack_path(path, data_centre, name);
	return g_hash_table_lookup(inventory->rack_by_path, path);
}

unsigned gn_inventory_one_way_us(const gn_inventory_t *inventory, unsigned a,
				 unsigned b)
{
	assert(a < inventory->data_centre_count);
	assert(b < inventory->data_centre_count);
	return *delay_at(inventory, a, b);
}
