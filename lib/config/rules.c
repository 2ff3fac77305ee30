#include "config/rules.h"

#include "config/file.h"
#include "config/rules_internal.h"
#include "config/schema.h"

#define QUOTA_MAX 1000000
#define WEIGHT_MAX 1000
#define LEAD_MAX_MINUTES (7 * 24 * 60)

#define NAME(type, member, need)                                     \
	{                                                            \
		.key = #member, .read = gn_schema_name,              \
		.offset = offsetof(type, member), .required = (need) \
	}
#define NAMES(type, member, count, low, high)                        \
	{                                                            \
		.key = #member, .read = gn_schema_names,             \
		.offset = offsetof(type, member),                    \
		.count_offset = offsetof(type, count), .min = (low), \
		.max = (high), .required = GN_SCHEMA_ALL             \
	}
#define NUMBER(type, member, low, high, need, value)                           \
	{                                                                      \
		.key = #member, .read = gn_schema_unsigned,                    \
		.offset = offsetof(type, member), .min = (low), .max = (high), \
		.required = (need), .default_value = (value)                   \
	}
#define TIME(name, member)                               \
	{                                                \
		.key = (name), .read = gn_schema_utc,    \
		.offset = offsetof(gn_window_t, member), \
		.required = GN_SCHEMA_ALL                \
	}
#define WEIGHT(name)                                                    \
	{                                                               \
		.key = #name, .read = gn_schema_number,                 \
		.offset = offsetof(gn_rules_t, weights.name), .min = 0, \
		.max = WEIGHT_MAX, .default_value = 1                   \
	}
#define TABLES(name, type, member, count, high)                          \
	{                                                                \
		.key = (name), .read = gn_schema_tables,                 \
		.offset = offsetof(gn_rules_t, member),                  \
		.count_offset = offsetof(gn_rules_t, count),             \
		.size = sizeof(type), .fields = type##_fields, .min = 0, \
		.max = (high)                                            \
	}
#define LAST                \
	{                   \
		.key = NULL \
	}

static const gn_schema_field_t weights_fields[] = {
	WEIGHT(tail),
	WEIGHT(evictions),
	WEIGHT(throughput),
	LAST,
};

static const gn_schema_field_t gn_service_t_fields[] = {
	NAME(gn_service_t, name, GN_SCHEMA_ALL),
	NAMES(gn_service_t, data_centres, data_centre_count, 1,
	      GN_DATA_CENTRES_MAX),
	LAST,
};

static const gn_schema_field_t gn_team_t_fields[] = {
	NAME(gn_team_t, name, GN_SCHEMA_ALL),
	NUMBER(gn_team_t, quota_tasks, 0, QUOTA_MAX, GN_SCHEMA_ALL, 0),
	NUMBER(gn_team_t, weight, 1, WEIGHT_MAX, 0, 1),
	LAST,
};

static const gn_schema_field_t gn_exclusion_t_fields[] = {
	NAMES(gn_exclusion_t, work, work_count, 2, GN_EXCLUSION_WORK_MAX),
	LAST,
};

static const gn_schema_field_t gn_window_t_fields[] = {
	NAME(gn_window_t, data_centre, GN_SCHEMA_ALL),
	NAME(gn_window_t, rack, 0),
	TIME("begin", begin_s),
	TIME("end", end_s),
	NUMBER(gn_window_t, lead_minutes, 0, LEAD_MAX_MINUTES, 0,
	       GN_LEAD_DEFAULT_MINUTES),
	LAST,
};

static const gn_schema_field_t gn_drain_t_fields[] = {
	NAME(gn_drain_t, host, GN_SCHEMA_ALL),
	LAST,
};

static const gn_schema_field_t rules_fields[] = {
	{ .key = "weights", .read = gn_schema_table, .fields = weights_fields },
	TABLES("service", gn_service_t, services, service_count,
	       GN_SERVICES_MAX),
	TABLES("team", gn_team_t, teams, team_count, GN_TEAMS_MAX),
	TABLES("exclude", gn_exclusion_t, exclusions, exclusion_count,
	       GN_EXCLUSIONS_MAX),
	TABLES("window", gn_window_t, windows, window_count, GN_WINDOWS_MAX),
	TABLES("drain", gn_drain_t, drains, drain_count, GN_HOSTS_MAX),
	LAST,
};

/* ======   Checks and indexes   ====== */

static gn_code_t fail_duplicate(gn_schema_reader_t *reader, const char *array,
				size_t index, const char *key, const char *name)
{
	return gn_schema_fail_at(reader, GN_ERR_INVALID, array, index, key,
				 "duplicate name %s", name);
}

static gn_code_t index_services(gn_schema_reader_t *reader, gn_rules_t *rules)
{
	for (size_t i = 0; i < rules->service_count; i++) {
		gn_service_t *service = &rules->services[i];

		if (!g_hash_table_insert(rules->service_by_name,
					 (void *)service->name, service))
			return fail_duplicate(reader, "service", i, "name",
					      service->name);
	}
	return GN_OK;
}

static gn_code_t index_teams(gn_schema_reader_t *reader, gn_rules_t *rules)
{
	for (size_t i = 0; i < rules->team_count; i++) {
		gn_team_t *team = &rules->teams[i];

		if (!g_hash_table_insert(rules->team_by_name,
					 (void *)team->name, team))
			return fail_duplicate(reader, "team", i, "name",
					      team->name);
	}
	return GN_OK;
}

static gn_code_t index_drains(gn_schema_reader_t *reader, gn_rules_t *rules)
{
	for (size_t i = 0; i < rules->drain_count; i++) {
		const char *host = rules->drains[i].host;

		if (!g_hash_table_add(rules->drained_hosts, (void *)host))
			return fail_duplicate(reader, "drain", i, "host", host);
	}
	return GN_OK;
}

/** Sets the bit of exclusion @p index for each of its workloads. */
static gn_code_t index_exclusion(gn_schema_reader_t *reader, gn_rules_t *rules,
				 size_t index)
{
	const gn_exclusion_t *exclusion = &rules->exclusions[index];
	uint64_t bit = 1ULL << (index % GN_EXCLUSION_BITS);

	for (size_t i = 0; i < exclusion->work_count; i++) {
		const char *work = exclusion->work[i];
		gn_exclusion_set_t *set;

		set = g_hash_table_lookup(rules->exclusions_by_work, work);
		if (!set) {
			set = talloc_zero(rules, gn_exclusion_set_t);
			if (!set)
				return gn_schema_fail(reader, GN_ERR_MEMORY,
						      "exclude",
						      "out of memory");
			g_hash_table_insert(rules->exclusions_by_work,
					    (void *)work, set);
		}
		if (set->words[index / GN_EXCLUSION_BITS] & bit)
			return fail_duplicate(reader, "exclude", index, "work",
					      work);
		set->words[index / GN_EXCLUSION_BITS] |= bit;
	}
	return GN_OK;
}

static gn_code_t index_exclusions(gn_schema_reader_t *reader, gn_rules_t *rules)
{
	gn_code_t code = GN_OK;

	for (size_t i = 0; !code && i < rules->exclusion_count; i++)
		code = index_exclusion(reader, rules, i);
	return code;
}

static gn_code_t index_windows(gn_schema_reader_t *reader, gn_rules_t *rules)
{
	char location[GN_LOCATION_SIZE];

	for (size_t i = 0; i < rules->window_count; i++) {
		gn_window_t *window = &rules->windows[i];
		GPtrArray *windows;

		if (window->end_s <= window->begin_s)
			return gn_schema_fail_at(reader, GN_ERR_INVALID,
						 "window", i, "end",
						 "not later than begin");
		gn_rules_format_location(location, window->data_centre,
					 window->rack);
		windows = g_hash_table_lookup(rules->windows_by_location,
					      location);
		if (!windows) {
			windows = g_ptr_array_new();
			g_hash_table_insert(rules->windows_by_location,
					    g_strdup(location), windows);
		}
		g_ptr_array_add(windows, window);
	}
	return GN_OK;
}

/* ======   Document   ====== */

static int free_rules(gn_rules_t *rules)
{
	g_hash_table_destroy(rules->service_by_name);
	g_hash_table_destroy(rules->team_by_name);
	g_hash_table_destroy(rules->drained_hosts);
	g_hash_table_destroy(rules->exclusions_by_work);
	g_hash_table_destroy(rules->windows_by_location);
	return 0;
}

static void free_windows(void *windows)
{
	g_ptr_array_free(windows, TRUE);
}

static gn_rules_t *create_rules(TALLOC_CTX *parent)
{
	gn_rules_t *result = talloc_zero(parent, gn_rules_t);

	if (!result)
		return NULL;
	result->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	result->team_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	result->drained_hosts = g_hash_table_new(g_str_hash, g_str_equal);
	result->exclusions_by_work = g_hash_table_new(g_str_hash, g_str_equal);
	result->windows_by_location = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_windows);
	talloc_set_destructor(result, free_rules);
	return result;
}

/** Checks one array of the document and builds its index. */
typedef gn_code_t (*index_fn_t)(gn_schema_reader_t *reader, gn_rules_t *rules);

static const index_fn_t index_fns[] = {
	index_services,	  index_teams,	 index_drains,
	index_exclusions, index_windows,
};

static gn_code_t read_rules(gn_schema_reader_t *reader, gn_str_t text,
			    gn_rules_t *rules)
{
	gn_toml_t *document;
	gn_code_t code = gn_schema_parse(reader, text, &document);

	if (code)
		return code;
	code = gn_schema_read(reader, document, rules_fields, rules);
	talloc_free(document);
	for (size_t i = 0; !code && i < G_N_ELEMENTS(index_fns); i++)
		code = index_fns[i](reader, rules);
	return code;
}

gn_code_t gn_rules_parse(TALLOC_CTX *parent, const char *source, gn_str_t text,
			 const gn_inventory_t *inventory, gn_rules_t **rules,
			 gn_error_t *error)
{
	gn_schema_reader_t reader = { .error = error,
				      .step = GN_RULES_STEP,
				      .peer = source,
				      .variant = GN_SCHEMA_ALL };
	gn_rules_t *result = create_rules(parent);
	gn_code_t code;

	if (!result)
		return gn_error_set(error, GN_ERR_MEMORY, GN_RULES_STEP, source,
				    "out of memory");
	reader.owner = result;
	code = read_rules(&reader, text, result);
	if (!code && inventory)
		code = gn_rules_check(result, source, inventory, error);
	if (code) {
		talloc_free(result);
		return code;
	}
	*rules = result;
	return GN_OK;
}

gn_code_t gn_rules_load(TALLOC_CTX *parent, const char *path,
			const gn_inventory_t *inventory, gn_rules_t **rules,
			gn_error_t *error)
{
	gn_str_t text;
	gn_code_t code;

	code = gn_file_read(NULL, path, GN_TOML_TEXT_MAX, GN_RULES_STEP, &text,
			    error);
	if (code)
		return code;
	code = gn_rules_parse(parent, path, text, inventory, rules, error);
	talloc_free((void *)text.data);
	return code;
}
