#include "config/settings.h"

#include <glib.h>
#include <string.h>
#include <syslog.h>

#include "config/file.h"
#include "config/schema.h"

#define STEP "settings"
/** Maximum size of a settings file, in bytes. */
#define FILE_MAX (1024 * 1024)
/** Minimum ratio of the heartbeat timeout to the heartbeat interval. */
#define BEATS_PER_TIMEOUT 3

#define ENTRY (1U << GN_ROLE_ENTRY)
#define AGENT (1U << GN_ROLE_AGENT)
#define SCHEDULER (1U << GN_ROLE_SCHEDULER)
#define EXECUTOR (1U << GN_ROLE_EXECUTOR)
#define JOBS (SCHEDULER | EXECUTOR)

#define MEMBER(member) .offset = offsetof(gn_settings_t, member)
#define NUMBER(name, member, low, high, value)                             \
	{                                                                  \
		.key = (name), .read = gn_schema_unsigned, MEMBER(member), \
		.min = (low), .max = (high), .default_value = (value)      \
	}
/** A number that the platform may state as a fraction. */
#define ROUNDED(name, member, low, high, value)                           \
	{                                                                 \
		.key = (name), .read = gn_schema_rounded, MEMBER(member), \
		.min = (low), .max = (high), .default_value = (value)     \
	}
#define LAST                \
	{                   \
		.key = NULL \
	}

static const char *const role_names[] = { "entry", "agent", "scheduler",
					  "executor", NULL };

/** Names of the syslog levels from LOG_ERR on. */
static const char *const level_names[] = { "err",  "warning", "notice",
					   "info", "debug",   NULL };

static gn_code_t read_level(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	gn_settings_t *settings = target;
	gn_code_t code = gn_schema_enum(reader, path, field, table, target);

	settings->log_level += LOG_ERR;
	return code;
}

/** Lower bound of the TTL in use, in milliseconds: a process that was not
 * scheduled for a moment must not lose its lease. */
#define LEASE_TTL_MIN_MS 1000
#define MS_PER_S 1000

static const gn_schema_field_t http_fields[] = {
	{ .key = "listen",
	  .read = gn_schema_address,
	  MEMBER(http_listen),
	  .required = GN_SCHEMA_ALL },
	{ .key = "advertise",
	  .read = gn_schema_address,
	  MEMBER(http_advertise),
	  .forbidden = AGENT | JOBS },
	{ .key = "readiness",
	  .read = gn_schema_address,
	  MEMBER(http_readiness),
	  .required = SCHEDULER,
	  .forbidden = ENTRY | AGENT | EXECUTOR },
	NUMBER("connections", http_connections, 1, 65536, 1024),
	NUMBER("timeout_ms", http_timeout_ms, 100, 600000, 10000),
	NUMBER("threads", http_threads, 1, 16, 1),
	LAST,
};

static const gn_schema_field_t metrics_fields[] = {
	{ .key = "listen",
	  .read = gn_schema_address,
	  MEMBER(metrics_listen),
	  .forbidden = ENTRY | AGENT },
	LAST,
};

static const gn_schema_field_t platform_fields[] = {
	{ .key = "address",
	  .read = gn_schema_address,
	  MEMBER(platform_address),
	  .required = ENTRY | JOBS },
	ROUNDED("calls_per_s", platform_calls_per_s, 1, 1000000000, 40),
	ROUNDED("lease_ttl_ms", lease_ttl_ms, 1, 600000, 6000),
	LAST,
};

static const gn_schema_field_t link_fields[] = {
	{ .key = "listen",
	  .read = gn_schema_address,
	  MEMBER(link_listen),
	  .required = ENTRY | SCHEDULER,
	  .forbidden = AGENT | EXECUTOR },
	{ .key = "entries",
	  .read = gn_schema_addresses,
	  MEMBER(entries),
	  .count_offset = offsetof(gn_settings_t, entry_count),
	  .min = 1,
	  .max = GN_ENTRIES_MAX,
	  .required = AGENT,
	  .forbidden = ENTRY | JOBS },
	NUMBER("beat_interval_ms", beat_interval_ms, 50, 10000, 500),
	NUMBER("beat_timeout_ms", beat_timeout_ms, 150, 600000, 2000),
	LAST,
};

#define WORKER_NUMBER(name, member, high)                                  \
	{                                                                  \
		.key = (name), .read = gn_schema_unsigned, MEMBER(member), \
		.min = 1, .max = (high), .required = AGENT                 \
	}

static const gn_schema_field_t worker_fields[] = {
	{ .key = "service",
	  .read = gn_schema_name,
	  MEMBER(service),
	  .required = AGENT },
	{ .key = "rack",
	  .read = gn_schema_name,
	  MEMBER(rack),
	  .required = AGENT },
	WORKER_NUMBER("max_tasks", max_tasks, 4096),
	WORKER_NUMBER("max_connections", max_connections, 4096),
	WORKER_NUMBER("cores", cores, 4096),
	WORKER_NUMBER("memory_mb", memory_mb, 16777216),
	NUMBER("accelerators", accelerators, 0, 256, 0),
	LAST,
};

static const gn_schema_field_t interference_fields[] = {
	NUMBER("target_ms", interference_target_ms, 0, 60000, 0),
	NUMBER("tail", interference_tail, 0, 100, 1),
	NUMBER("throughput", interference_throughput, 0, 100, 1),
	NUMBER("evictions", interference_evictions, 0, 100, 1),
	LAST,
};

/*
 * The parameters of the modules limit, eject and retry. Bounds and defaults
 * must match those of the modules and of their gn_*_defaults() functions.
 */
static const gn_schema_field_t limit_fields[] = {
	NUMBER("floor", limit.floor, 1, 4096, 16),
	NUMBER("ceiling", limit.ceiling, 1, 1000000, 8192),
	NUMBER("start", limit.start, 1, 1000000, 256),
	NUMBER("window_ms", limit.window_ms, 10, 10000, 100),
	NUMBER("late_pct", limit.late_pct, 10, 100, 50),
	NUMBER("late_share_pct", limit.late_share_pct, 1, 50, 5),
	NUMBER("queue_pct", limit.queue_pct, 110, 1000, 125),
	NUMBER("cut_pct", limit.cut_pct, 50, 99, 85),
	NUMBER("growth_pct", limit.growth_pct, 1, 50, 5),
	NUMBER("wait_margin_pct", limit.response_margin_pct, 100, 1000, 200),
	NUMBER("contend_pct", limit.contention_pct, 1, 100, 70),
	NUMBER("quick_pct", limit.class_pct[GN_CLASS_QUICK], 1, 100, 100),
	NUMBER("batch_pct", limit.class_pct[GN_CLASS_BATCH], 1, 100, 50),
	NUMBER("standing_pct", limit.class_pct[GN_CLASS_STANDING], 1, 100, 25),
	NUMBER("other_weight", limit.other_weight, 1, 1000, 1),
	NUMBER("return_pct", limit.retry_pct, 1, 100, 20),
	NUMBER("return_min_ms", limit.retry_min_ms, 1, 60000, 200),
	NUMBER("return_max_ms", limit.retry_max_ms, 1, 3600000, 30000),
	LAST,
};

static const gn_schema_field_t eject_fields[] = {
	NUMBER("half_life_ms", eject.half_life_ms, 100, 60000, 2000),
	NUMBER("min_fails", eject.min_failures, 2, 100, 3),
	NUMBER("fail_margin_pct", eject.fail_margin_pct, 5, 100, 30),
	NUMBER("slow_factor", eject.slow_factor, 2, 100, 4),
	NUMBER("slow_min_us", eject.slow_min_us, 1000, 10000000, 20000),
	NUMBER("slow_min_passes", eject.slow_min_successes, 5, 1000, 20),
	NUMBER("max_ejected_pct", eject.max_ejected_pct, 1, 90, 50),
	NUMBER("first_ms", eject.first_ms, 100, 60000, 1000),
	NUMBER("longest_ms", eject.longest_ms, 100, 3600000, 60000),
	NUMBER("probe_interval_ms", eject.probe_interval_ms, 10, 60000, 250),
	NUMBER("probes", eject.probes, 1, 100, 3),
	NUMBER("growth_interval_ms", eject.growth_interval_ms, 10, 60000, 500),
	LAST,
};

static const gn_schema_field_t retry_fields[] = {
	NUMBER("share_pct", retry.share_pct, 0, 100, 10),
	NUMBER("reserve", retry.reserve, 0, 1000, 10),
	NUMBER("tries", retry.max_attempts, 1, GN_ROUTE_ATTEMPTS_MAX, 3),
	LAST,
};

static const gn_schema_field_t jobs_fields[] = {
	{ .key = "worker",
	  .read = gn_schema_address,
	  MEMBER(jobs.worker_address),
	  .required = EXECUTOR,
	  .forbidden = ENTRY | AGENT | SCHEDULER },
	{ .key = "advice",
	  .read = gn_schema_address,
	  MEMBER(jobs.advice_address),
	  .forbidden = ENTRY | AGENT | EXECUTOR },
	ROUNDED("lease_ms", jobs.lease_ms, 1000, 60000, 4000),
	ROUNDED("lease_max_ms", jobs.lease_max_ms, 1000, 600000, 10000),
	ROUNDED("late_call_ms", jobs.late_call_ms, 0, 600000, 12000),
	ROUNDED("depose_ms", jobs.depose_ms, 0, 60000, 5000),
	ROUNDED("retain_s", jobs.retain_s, 1, 86400, 150),
	ROUNDED("stop_ms", jobs.stop_ms, 0, 60000, 1000),
	ROUNDED("early_ms", jobs.early_ms, 0, 60000, 0),
	{ .key = "far_factor",
	  .read = gn_schema_number,
	  MEMBER(jobs.far_factor),
	  .min = 1,
	  .max = 100,
	  .default_value = 2 },
	ROUNDED("restore_ms", jobs.restore_ms, 0, 60000, 500),
	ROUNDED("harm_ms", jobs.harm_ms, 1, 600000, 4000),
	ROUNDED("pace_ms", jobs.pace_ms, 0, 60000, 100),
	ROUNDED("notice_ms", jobs.notice_ms, 0, 600000, 5000),
	ROUNDED("headroom_pct", jobs.headroom_pct, 0, 300, 110),
	ROUNDED("late_headroom_pct", jobs.late_headroom_pct, 0, 300, 0),
	ROUNDED("evacuate_ms", jobs.evacuate_ms, 0, 600000, 0),
	ROUNDED("configuration_ms", jobs.configuration_ms, 1500, 600000, 2000),
	NUMBER("forecast", jobs.forecast, 0, 1, 0),
	{ .key = "cores",
	  .read = gn_schema_number,
	  MEMBER(jobs.cores),
	  .min = 0,
	  .max = 4096,
	  .default_value = 1 },
	{ .key = "link_mbps",
	  .read = gn_schema_number,
	  MEMBER(jobs.link_mbps),
	  .min = 0,
	  .max = 1000000,
	  .default_value = 1000 },
	LAST,
};

static const gn_schema_field_t settings_fields[] = {
	{ .key = "role",
	  .read = gn_schema_enum,
	  MEMBER(role),
	  .names = role_names,
	  .required = GN_SCHEMA_ALL },
	{ .key = "name",
	  .read = gn_schema_name,
	  MEMBER(name),
	  .required = GN_SCHEMA_ALL },
	{ .key = "region",
	  .read = gn_schema_name,
	  MEMBER(region),
	  .required = GN_SCHEMA_ALL },
	{ .key = "data_centre",
	  .read = gn_schema_name,
	  MEMBER(data_centre),
	  .required = GN_SCHEMA_ALL },
	{ .key = "log_level",
	  .read = read_level,
	  MEMBER(log_level),
	  .names = level_names,
	  .default_value = LOG_INFO - LOG_ERR },
	NUMBER("stop_grace_ms", stop_grace_ms, 0, 600000, 30000),
	{ .key = "stop_grace_s",
	  .read = gn_schema_number,
	  MEMBER(stop_grace_s),
	  .min = 0,
	  .max = 600 },
	{ .key = "http",
	  .read = gn_schema_table,
	  .fields = http_fields,
	  .required = GN_SCHEMA_ALL },
	{ .key = "metrics",
	  .read = gn_schema_table,
	  .fields = metrics_fields,
	  .forbidden = ENTRY | AGENT },
	{ .key = "platform",
	  .read = gn_schema_table,
	  .fields = platform_fields,
	  .required = ENTRY | JOBS,
	  .forbidden = AGENT },
	{ .key = "link",
	  .read = gn_schema_table,
	  .fields = link_fields,
	  .required = ENTRY | AGENT | SCHEDULER,
	  .forbidden = EXECUTOR },
	{ .key = "limit",
	  .read = gn_schema_table,
	  .fields = limit_fields,
	  .forbidden = AGENT | JOBS },
	{ .key = "eject",
	  .read = gn_schema_table,
	  .fields = eject_fields,
	  .forbidden = AGENT | JOBS },
	{ .key = "retry",
	  .read = gn_schema_table,
	  .fields = retry_fields,
	  .forbidden = AGENT | JOBS },
	{ .key = "worker",
	  .read = gn_schema_table,
	  .fields = worker_fields,
	  .required = AGENT,
	  .forbidden = ENTRY | JOBS },
	{ .key = "interference",
	  .read = gn_schema_table,
	  .fields = interference_fields,
	  .forbidden = ENTRY | JOBS },
	{ .key = "jobs",
	  .read = gn_schema_table,
	  .fields = jobs_fields,
	  .required = EXECUTOR,
	  .forbidden = ENTRY | AGENT },
	LAST,
};

/** Reads the role, which determines the keys that are required or allowed. */
static gn_code_t read_role(gn_schema_reader_t *reader,
			   const gn_toml_t *document)
{
	const gn_toml_table_t *root = gn_toml_root(document);
	gn_settings_t settings = { 0 };
	gn_code_t code;

	if (gn_toml_get_kind(root, "role") == GN_TOML_NONE)
		return gn_schema_fail(reader, GN_ERR_INVALID, "role",
				      "missing");
	code = gn_schema_enum(reader, "role", &settings_fields[0], root,
			      &settings);
	reader->variant = 1U << settings.role;
	return code;
}

/** Returns the advertised address, or NULL if it is the listen address. */
static const char *distinct_advertised(const gn_settings_t *settings)
{
	if (settings->http_advertise && settings->http_listen &&
	    !strcmp(settings->http_advertise, settings->http_listen))
		return NULL;
	return settings->http_advertise;
}

/** Adds an address to @p used; fails if it is already in use. */
static gn_code_t add_address(gn_schema_reader_t *reader, GHashTable *used,
			     const char *path, const char *address)
{
	const char *first = g_hash_table_lookup(used, address);

	if (first)
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "%s is already the address of %s",
				      address, first);
	g_hash_table_insert(used, (void *)address, (void *)path);
	return GN_OK;
}

static gn_code_t check_addresses(gn_schema_reader_t *reader,
				 const gn_settings_t *settings)
{
	const struct {
		const char *path;
		const char *address;
	} single[] = {
		{ "http.listen", settings->http_listen },
		{ "http.advertise", distinct_advertised(settings) },
		{ "platform.address", settings->platform_address },
		{ "link.listen", settings->link_listen },
		{ "http.readiness", settings->http_readiness },
		{ "metrics.listen", settings->metrics_listen },
		{ "jobs.worker", settings->jobs.worker_address },
		{ "jobs.advice", settings->jobs.advice_address },
	};
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	gn_code_t code = GN_OK;

	for (size_t i = 0; !code && i < G_N_ELEMENTS(single); i++)
		if (single[i].address)
			code = add_address(reader, used, single[i].path,
					   single[i].address);
	for (size_t i = 0; !code && i < settings->entry_count; i++)
		code = add_address(reader, used, "link.entries",
				   settings->entries[i]);
	g_hash_table_destroy(used);
	return code;
}

static gn_code_t check_beat_timeout(gn_schema_reader_t *reader,
				    const gn_settings_t *settings)
{
	unsigned minimum = BEATS_PER_TIMEOUT * settings->beat_interval_ms;

	if (settings->beat_timeout_ms >= minimum)
		return GN_OK;
	return gn_schema_fail(reader, GN_ERR_RANGE, "link.beat_timeout_ms",
			      "%u is less than %u (%d times "
			      "link.beat_interval_ms)",
			      settings->beat_timeout_ms, minimum,
			      BEATS_PER_TIMEOUT);
}

/* Checks values that must not be less than another value. */
static gn_code_t check_minimums(gn_schema_reader_t *reader,
				const gn_settings_t *settings)
{
	const struct {
		const char *path;
		unsigned value;
		const char *minimum_path;
		unsigned minimum;
	} minimums[] = {
		{ "limit.ceiling", settings->limit.ceiling, "limit.floor",
		  settings->limit.floor },
		{ "limit.start", settings->limit.start, "limit.floor",
		  settings->limit.floor },
		{ "limit.ceiling", settings->limit.ceiling, "limit.start",
		  settings->limit.start },
		{ "limit.return_max_ms", settings->limit.retry_max_ms,
		  "limit.return_min_ms", settings->limit.retry_min_ms },
		{ "eject.longest_ms", settings->eject.longest_ms,
		  "eject.first_ms", settings->eject.first_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(minimums); i++)
		if (minimums[i].value < minimums[i].minimum)
			return gn_schema_fail(
				reader, GN_ERR_RANGE, minimums[i].path,
				"%u is less than %s (%u)", minimums[i].value,
				minimums[i].minimum_path, minimums[i].minimum);
	return GN_OK;
}

static gn_code_t read_settings(gn_schema_reader_t *reader,
			       const gn_toml_t *document,
			       gn_settings_t *settings)
{
	gn_code_t code = read_role(reader, document);

	if (!code)
		code = gn_schema_read(reader, document, settings_fields,
				      settings);
	if (!code)
		code = check_addresses(reader, settings);
	if (!code)
		code = check_beat_timeout(reader, settings);
	if (!code && settings->role == GN_ROLE_ENTRY)
		code = check_minimums(reader, settings);
	if (!settings->http_advertise)
		settings->http_advertise = settings->http_listen;
	if (settings->lease_ttl_ms < LEASE_TTL_MIN_MS)
		settings->lease_ttl_ms = LEASE_TTL_MIN_MS;
	if (settings->stop_grace_s > 0)
		settings->stop_grace_ms =
			(unsigned)(settings->stop_grace_s * MS_PER_S);
	return code;
}

gn_code_t gn_settings_parse(TALLOC_CTX *parent, const char *path, gn_str_t text,
			    gn_settings_t **settings, gn_error_t *error)
{
	gn_schema_reader_t reader = { .error = error,
				      .step = STEP,
				      .peer = path };
	gn_toml_t *document = NULL;
	gn_settings_t *result;
	gn_code_t code;

	result = talloc_zero(parent, gn_settings_t);
	if (!result)
		return gn_error_set(error, GN_ERR_MEMORY, STEP, path,
				    "out of memory");
	reader.owner = result;
	code = gn_schema_parse(&reader, text, &document);
	if (!code)
		code = read_settings(&reader, document, result);
	talloc_free(document);
	if (code) {
		talloc_free(result);
		return code;
	}
	*settings = result;
	return GN_OK;
}

gn_code_t gn_settings_load(TALLOC_CTX *parent, const char *path,
			   gn_settings_t **settings, gn_error_t *error)
{
	gn_str_t text;
	gn_code_t code;

	code = gn_file_read(NULL, path, FILE_MAX, STEP, &text, error);
	if (code)
		return code;
	code = gn_settings_parse(parent, path, text, settings, error);
	talloc_free((void *)text.data);
	return code;
}
