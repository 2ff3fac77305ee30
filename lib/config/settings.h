/**
 * @file settings.h
 * @brief The settings of a daemon, read from a TOML file.
 *
 * The file is accepted only if all of it is valid. Names consist of 1..63
 * letters, digits, '.', '_' and '-'. Addresses are numeric, with a port of
 * 1..65535, and are stored in canonical form. No two settings may have the same
 * address. A key that belongs to another role is an error.
 *
 * The comment on a member has its key, range and default value. "Entry",
 * "agent", "scheduler" or "executor" means that only this role has the key.
 */
#ifndef GN_CONFIG_SETTINGS_H
#define GN_CONFIG_SETTINGS_H

#include <talloc.h>

#include "common/error.h"
#include "limit/limit.h"
#include "route/eject.h"
#include "route/retry.h"

/** The role of a daemon. */
typedef enum gn_role_e {
	GN_ROLE_ENTRY = 0, /**< Accepts requests and routes them to workers. */
	GN_ROLE_AGENT, /**< Admits requests beside a backend server. */
	GN_ROLE_SCHEDULER, /**< Schedules jobs; runs on an entry host. */
	GN_ROLE_EXECUTOR, /**< Runs tasks beside a backend server. */
	GN_ROLE_COUNT
} gn_role_t;

/** Maximum number of entries in an agent's settings. */
#define GN_ENTRIES_MAX 256

/** The table [jobs] of schedulers and executors. Members are named as keys. */
typedef struct gn_jobs_settings_s {
	const char *worker_address; /**< worker = "IP:PORT"; executor. */
	/** advice = "IP:PORT" or NULL; scheduler. */
	const char *advice_address;
	unsigned lease_ms; /**< Lease of a worker, 1000..60000, default 4000. */
	/** Maximum lease that a worker grants, 1000..600000, default 10000. */
	unsigned lease_max_ms;
	/** Longest time after which a worker carries out a call without an
	 * answer, 0..600000, default 12000. */
	unsigned late_call_ms;
	/** A deposed leader answers this long, 0..60000, default 5000. */
	unsigned depose_ms;
	/** Retention of a finished job, 1..86400, default 150. */
	unsigned retain_s;
	/** Maximum time to stop a run, 0..60000, default 1000. */
	unsigned stop_ms;
	/** A scheduled job may start this early, 0..60000, default 0. */
	unsigned early_ms;
	/** Slowdown of a task away from its data's rack, 1..100, default 2. */
	double far_factor;
	/** Time to resume a task from a checkpoint, 0..60000, default 500. */
	unsigned restore_ms;
	/** Tolerated time over a latency target, 1..600000, default 4000. */
	unsigned harm_ms;
	/** Time until a pace order takes effect, 0..60000, default 100. */
	unsigned pace_ms;
	/**
	 * An absence of a service counts this long, 0..600000, default 5000.
	 */
	unsigned notice_ms;
	/** Headroom that serving tasks keep, target over tail, 0..300 %,
	 * default 110; 0 lets it follow the demand. */
	unsigned headroom_pct;
	/** The same beside tasks of late jobs, 0..300 %, default 0, which
	 * treats these like others. */
	unsigned late_headroom_pct;
	/**
	 * Time after the request to evacuate a data centre by which nothing
	 * starts there any more, 0..600000, default 0 (no evacuations). At 2500
	 * or less, executors start nothing.
	 */
	unsigned evacuate_ms;
	/** Time in which a change of the configuration is in force,
	 * 1500..600000, default 2000. */
	unsigned configuration_ms;
	/** 1: refuse jobs that cannot end while of use; 0..1, default 0. */
	unsigned forecast;
	/** Cores of the host for this process, 0..4096, default 1. */
	double cores;
	/** Bandwidth of the host's link in Mbit/s, 0..1000000, default 1000. */
	double link_mbps;
} gn_jobs_settings_t;

/** The settings; the struct is the talloc parent of all strings. */
typedef struct gn_settings_s {
	/** role = "entry", "agent", "scheduler" or "executor". */
	gn_role_t role;
	const char *name; /**< name of the daemon or its worker, 1..63 bytes. */
	const char *region; /**< region, 1..63 bytes. */
	const char *data_centre; /**< data_centre, 1..63 bytes. */
	int log_level; /**< log_level = "err" .. "debug", default "info". */

	const char *http_listen; /**< [http] listen = "IP:PORT". */
	/** [http] advertise = "IP:PORT", default http_listen; entry. */
	const char *http_advertise;
	/** [http] connections, 1..65536, default 1024. */
	unsigned http_connections;
	/** [http] timeout_ms, 100..600000, default 10000. */
	unsigned http_timeout_ms;
	unsigned http_threads; /**< [http] threads, 1..16, default 1. */

	/** [metrics] listen = "IP:PORT" or NULL; scheduler and executor. */
	const char *metrics_listen;
	/** [http] readiness = "IP:PORT"; scheduler. */
	const char *http_readiness;

	/** [platform] address = "IP:PORT"; all roles but agent. */
	const char *platform_address;
	/**
	 * [platform] calls_per_s that the service takes from this process,
	 * 1..1000000000, default 40. A process makes at most GN_KV_RATE_MAX.
	 */
	unsigned platform_calls_per_s;
	/**
	 * [platform] lease_ttl_ms, 1..600000, default 6000. Less than 1000
	 * counts as 1000.
	 */
	unsigned lease_ttl_ms;

	/** [link] listen = "IP:PORT"; entry and scheduler. */
	const char *link_listen;
	const char **entries; /**< [link] entries = ["IP:PORT"]; agent. */
	/** Range 1..GN_ENTRIES_MAX for an agent, else 0. */
	size_t entry_count;
	/** [link] beat_interval_ms, of heartbeats, 50..10000, default 500. */
	unsigned beat_interval_ms;
	/**
	 * [link] beat_timeout_ms, at least 3 intervals, 150..600000,
	 * default 2000.
	 */
	unsigned beat_timeout_ms;

	const char *service; /**< [worker] service, 1..63 bytes; agent. */
	const char *rack; /**< [worker] rack, 1..63 bytes; agent. */
	unsigned max_tasks; /**< [worker] max_tasks, 1..4096; agent. */
	/** [worker] max_connections, 1..4096; agent. */
	unsigned max_connections;
	unsigned cores; /**< [worker] cores, 1..4096; agent. */
	unsigned memory_mb; /**< [worker] memory_mb, 1..16777216; agent. */
	/** [worker] accelerators, 0..256, default 0; agent. */
	unsigned accelerators;

	/** [interference] target_ms, 0..60000, default 0 (off); agent. */
	unsigned interference_target_ms;
	/** [interference] tail, 0..100, default 1; agent. */
	unsigned interference_tail;
	/** [interference] throughput, 0..100, default 1; agent. */
	unsigned interference_throughput;
	/** [interference] evictions, 0..100, default 1; agent. */
	unsigned interference_evictions;

	gn_limit_config_t limit; /**< [limit]; entry; see limit/limit.h. */
	gn_eject_config_t eject; /**< [eject]; entry; see route/eject.h. */
	gn_retry_config_t retry; /**< [retry]; entry; see route/retry.h. */

	gn_jobs_settings_t jobs; /**< [jobs]; scheduler and executor. */

	unsigned stop_grace_ms; /**< stop_grace_ms, 0..600000, default 30000. */
	/** stop_grace_s, 0..600; above 0 it replaces stop_grace_ms. */
	double stop_grace_s;
} gn_settings_t;

/**
 * Reads and checks the settings file at @p path.
 * @param parent talloc parent of the result
 * @param settings set on success only
 * @param error set on failure, with step "settings", peer @p path, and the
 *        line, if it is known, or else the key and its bounds; may be NULL
 * @return GN_OK, GN_ERR_NOT_FOUND (no such file), GN_ERR_INVALID (malformed,
 *         unknown key, wrong type, duplicate address), GN_ERR_RANGE,
 *         GN_ERR_MEMORY
 */
gn_code_t gn_settings_load(TALLOC_CTX *parent, const char *path,
			   gn_settings_t **settings, gn_error_t *error);

/**
 * Parses settings as gn_settings_load() does.
 * @param path name of the document in errors
 */
gn_code_t gn_settings_parse(TALLOC_CTX *parent, const char *path, gn_str_t text,
			    gn_settings_t **settings, gn_error_t *error);

#endif
