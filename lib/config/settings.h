/**
 * @file settings.h
 * @brief The settings of one process, read from a TOML file and checked whole.
 *
 * Names are 1..63 letters, digits, '.', '_' and '-'. Addresses are IP numbers
 * with a port of 1..65535 and are kept in canonical form. No address may be
 * given twice. A key of the other role is refused.
 */
#ifndef GN_CONFIG_SETTINGS_H
#define GN_CONFIG_SETTINGS_H

#include <talloc.h>

#include "common/error.h"
#include "limit/limit.h"
#include "route/eject.h"
#include "route/retry.h"

/** What a daemon is. */
typedef enum gn_role_e {
	GN_ROLE_ENTRY = 0, /**< on an entry host */
	GN_ROLE_AGENT, /**< beside a backend server */
	GN_ROLE_SCHEDULER, /**< on an entry host: jobs of steps and tasks */
	GN_ROLE_EXECUTOR, /**< beside a backend server: its orders */
	GN_ROLE_COUNT
} gn_role_t;

/** Most entries an agent may name. */
#define GN_ENTRIES_MAX 256

/** [jobs]: times and limits of the scheduler and the executors. */
typedef struct gn_jobs_settings_s {
	const char *worker_address; /**< "IP:PORT", executor */
	const char *advice_address; /**< "IP:PORT", scheduler; NULL: none */
	unsigned lease_ms; /**< of a worker, 1000..60000; 4000 */
	unsigned lease_max_ms; /**< that a worker grants, 1000..600000; 10000 */
	unsigned depose_ms; /**< 0..60000; 5000; see sched/sched.h */
	unsigned retain_s; /**< of a finished job, 1..86400; 150 */
	unsigned stop_ms; /**< of a run, 0..60000; 1000 */
	unsigned early_ms; /**< of a timed job, 0..60000; 0 */
	double far_factor; /**< off the data's rack, 1..100; 2 */
	unsigned restore_ms; /**< from a checkpoint, 0..60000; 500 */
	unsigned harm_ms; /**< over a latency target, 1..600000; 4000 */
	unsigned pace_ms; /**< until a pace works, 0..60000; 100 */
	unsigned notice_ms; /**< absences count so long, 0..600000; 5000 */
	double cores; /**< of the host, for this process, 0..4096; 1 */
	double link_mbps; /**< of the host's link, 0..1000000; 1000 */
} gn_jobs_settings_t;

/** The settings; all strings are terminated and owned by the struct. */
typedef struct gn_settings_s {
	gn_role_t role; /**< role = "entry" or "agent" */
	const char *name; /**< name: the entry's or the worker's, 1..63 bytes */
	const char *region; /**< region, 1..63 bytes */
	const char *data_centre; /**< data_centre, 1..63 bytes */
	int log_level; /**< log_level = "err" .. "debug"; default "info" */

	const char *http_listen; /**< [http] listen = "IP:PORT" */
	/** [http] advertise = "IP:PORT", entry; http_listen */
	const char *http_advertise;
	unsigned http_connections; /**< [http] connections, 1..65536; 1024 */
	unsigned http_timeout_ms; /**< [http] timeout_ms, 100..600000; 10000 */
	unsigned http_threads; /**< [http] threads, 1..16; 1 */

	/** [metrics] listen = "IP:PORT"; NULL: none */
	const char *metrics_listen;
	/** [http] readiness = "IP:PORT", scheduler */
	const char *http_readiness;

	const char
		*platform_address; /**< [platform] address = "IP:PORT", entry */
	unsigned
		platform_calls_per_s; /**< [platform] calls_per_s, 1..2000; 40 */
	unsigned
		lease_ttl_ms; /**< [platform] lease_ttl_ms, 1000..60000; 6000 */

	const char *link_listen; /**< [link] listen = "IP:PORT", entry */
	const char **entries; /**< [link] entries = ["IP:PORT"], agent */
	size_t entry_count; /**< 1..GN_ENTRIES_MAX, agent */
	unsigned
		beat_interval_ms; /**< [link] beat_interval_ms, 50..10000; 500 */
	unsigned
		beat_timeout_ms; /**< [link] beat_timeout_ms, 3 intervals at least; 2000 */

	const char *service; /**< [worker] service, 1..63 bytes, agent */
	const char *rack; /**< [worker] rack, 1..63 bytes */
	unsigned max_tasks; /**< [worker] max_tasks, 1..4096 */
	unsigned max_connections; /**< [worker] max_connections, 1..4096 */
	unsigned cores; /**< [worker] cores, 1..4096 */
	unsigned memory_mb; /**< [worker] memory_mb, 1..16777216 */
	unsigned accelerators; /**< [worker] accelerators, 0..256; 0 */

	unsigned
		interference_target_ms; /**< [interference] target_ms, 0..60000; 0: off */
	unsigned interference_tail; /**< [interference] tail, 0..100; 1 */
	unsigned
		interference_throughput; /**< [interference] throughput, 0..100; 1 */
	unsigned
		interference_evictions; /**< [interference] evictions, 0..100; 1 */

	gn_limit_config_t limit; /**< [limit], entry; see limit/limit.h */
	gn_eject_config_t eject; /**< [eject], entry; see route/eject.h */
	gn_retry_config_t retry; /**< [retry], entry; see route/retry.h */

	gn_jobs_settings_t jobs; /**< [jobs], scheduler and executor */

	unsigned stop_grace_ms; /**< stop_grace_ms, 0..600000; 30000 */
} gn_settings_t;

/**
 * Reads and checks the settings file at @p path.
 * @param parent talloc parent of the result
 * @param settings set to the settings on success, else untouched
 * @param error step "settings", peer the file; the detail names the line
 *        where known, the key and the bounds
 * @return GN_OK, GN_ERR_NOT_FOUND (no such file), GN_ERR_INVALID (malformed,
 *         unknown key, wrong type, duplicated address), GN_ERR_RANGE,
 *         GN_ERR_MEMORY
 */
gn_code_t gn_settings_load(TALLOC_CTX *parent, const char *path,
			   gn_settings_t **settings, gn_error_t *error);

/**
 * Checks the settings in @p text as gn_settings_load() does.
 * @param path the name of the document in errors
 */
gn_code_t gn_settings_parse(TALLOC_CTX *parent, const char *path, gn_str_t text,
			    gn_settings_t **settings, gn_error_t *error);

#endif
