#include "entry/config.h"

#include <inttypes.h>
#include <time.h>

#include "common/log.h"
#include "entry/buckets.h"
#include "entry/membership.h"

/** Timeout of a configuration change, in milliseconds. */
#define CHANGE_TIMEOUT_MS 5000

static int64_t get_wall_time_s(void)
{
	return (int64_t)time(NULL);
}

/* ======   Checking   ====== */

static gn_code_t parse_doc(TALLOC_CTX *parent, const gn_config_doc_t *doc,
			   gn_inventory_t **inventory, gn_rules_t **rules,
			   gn_error_t *error)
{
	gn_str_t text = doc->parts[GN_CONFIG_INVENTORY].text;
	gn_code_t code = GN_OK;

	*inventory = NULL;
	if (text.len)
		code = gn_inventory_parse(parent, "inventory", text, inventory,
					  error);
	if (code)
		return code;
	return gn_rules_parse(parent, "rules", doc->parts[GN_CONFIG_RULES].text,
			      *inventory, rules, error);
}

static gn_code_t check_doc(void *context, const gn_config_doc_t *doc,
			   gn_error_t *error)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_inventory_t *inventory;
	gn_rules_t *rules;
	gn_code_t code;

	(void)context;
	code = parse_doc(scratch, doc, &inventory, &rules, error);
	talloc_free(scratch);
	return code;
}

/* ======   Applying   ====== */

static void set_team_weights(const entry_config_t *config)
{
	for (size_t i = 0; i < config->rules->team_count; i++) {
		const gn_team_t *team = &config->rules->teams[i];

		gn_limit_set_team(config->entry->limit, gn_str_from(team->name),
				  team->weight);
	}
}

static void push_to_all(const entry_config_t *config)
{
	GHashTableIter iter;
	gpointer worker;

	g_hash_table_iter_init(&iter, config->entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		entry_config_push(config->entry, worker);
}

static void on_adopt(void *context, const gn_config_doc_t *doc)
{
	entry_config_t *config = context;
	gn_inventory_t *inventory;
	gn_rules_t *rules;
	gn_error_t error = { 0 };

	if (parse_doc(config, doc, &inventory, &rules, &error)) {
		/* Another software version accepted the document. The revision
		 * in use is kept. */
		gn_log_error(LOG_ERR, &error);
		return;
	}
	TALLOC_FREE(config->rules);
	TALLOC_FREE(config->inventory);
	config->inventory = inventory;
	config->rules = rules;
	config->revision = doc->revision;
	gn_counter_inc(config->adopted);
	gn_log(LOG_INFO, "config", NULL, "revision %" PRIu64 " is in use",
	       doc->revision);
	set_team_weights(config);
	entry_buckets_apply_config(config->entry);
	push_to_all(config);
}

static void set_exclusions(const gn_rules_t *rules, gn_task_queue_t *order)
{
	for (size_t i = 0; i < rules->exclusion_count; i++) {
		const gn_exclusion_t *exclusion = &rules->exclusions[i];

		for (size_t a = 0; a < exclusion->work_count; a++)
			for (size_t b = a + 1; b < exclusion->work_count; b++)
				gn_task_queue_forbid_sharing(
					order, exclusion->work[a],
					exclusion->work[b]);
	}
}

/*
 * Sets the largest value of each resource over all hosts: no worker can have
 * more than that.
 */
static void set_largest_host(const entry_config_t *config,
			     gn_task_queue_t *order)
{
	const gn_inventory_t *inventory = config->inventory;
	unsigned cores = 0;
	unsigned memory_mb = 0;
	unsigned accelerators = 0;

	gn_task_queue_clear_largest(order);
	if (!inventory)
		return;
	for (size_t i = 0; i < inventory->host_count; i++) {
		const gn_host_t *host = &inventory->hosts[i];

		cores = MAX(cores, host->cores);
		memory_mb = MAX(memory_mb, host->memory_mb);
		accelerators = MAX(accelerators, host->accelerators);
	}
	for (size_t i = 0; i < config->rules->service_count; i++)
		gn_task_queue_set_largest(order,
					  config->rules->services[i].name,
					  cores, memory_mb, accelerators);
}

void entry_config_apply_to(const entry_t *entry, gn_task_queue_t *order)
{
	const entry_config_t *config = entry->config;

	if (!config->rules)
		return;
	gn_task_queue_clear_rules(order);
	for (size_t i = 0; i < config->rules->team_count; i++)
		gn_task_queue_set_quota(order, config->rules->teams[i].name,
					config->rules->teams[i].quota_tasks);
	set_exclusions(config->rules, order);
	set_largest_host(config, order);
}

/* ======   Push   ====== */

static const gn_window_t *find_window(const entry_t *entry,
				      const entry_worker_t *worker)
{
	if (!entry->config->rules)
		return NULL;
	return gn_rules_next_window(entry->config->rules,
				    worker->hello->data_centre, worker->rack,
				    get_wall_time_s());
}

void entry_config_push(entry_t *entry, const entry_worker_t *worker)
{
	const entry_config_t *config = entry->config;
	const gn_window_t *window = find_window(entry, worker);
	Gn__Envelope envelope = GN__ENVELOPE__INIT;
	Gn__Config message = GN__CONFIG__INIT;

	if (!config->rules)
		return;
	gn_counter_inc(config->pushed);
	message.revision = config->revision;
	message.draining = gn_rules_is_drained(config->rules, worker->name);
	if (window) {
		message.drain_from_s = gn_window_drain_begin_s(window);
		message.drain_until_s = window->end_s;
	}
	envelope.body_case = GN__ENVELOPE__BODY_CONFIG;
	envelope.config = &message;
	entry_worker_send(entry, worker, &envelope);
}

bool entry_config_is_drained(const entry_t *entry, const entry_worker_t *worker)
{
	const gn_window_t *window = find_window(entry, worker);

	if (!entry->config->rules)
		return false;
	return gn_rules_is_drained(entry->config->rules, worker->name) ||
	       (window && gn_window_drain_begin_s(window) <= get_wall_time_s());
}

uint64_t entry_config_drain_at_us(const entry_t *entry,
				  const entry_worker_t *worker)
{
	const gn_window_t *window = find_window(entry, worker);
	int64_t left_s =
		window ? gn_window_drain_begin_s(window) - get_wall_time_s()
		       : 0;

	if (!window)
		return 0;
	return gn_runtime_now_us(entry->runtime) +
	       (left_s > 0 ? (uint64_t)left_s * GN_US_PER_S : 0);
}

/* ======   Commands   ====== */

gn_code_t entry_config_open(entry_t *entry)
{
	gn_counters_t *all = entry->runtime->counters;
	entry_config_t *config = talloc_zero(entry, entry_config_t);
	const gn_store_options_t options = {
		.kv = entry->membership->kv,
		.clock = &entry->runtime->clock,
		.rand = entry->runtime->rand,
		.timeout_ms = CHANGE_TIMEOUT_MS,
		.check = check_doc,
		.on_adopt = on_adopt,
		.context = config,
	};

	if (!config)
		return GN_ERR_MEMORY;
	entry->config = config;
	config->entry = entry;
	config->accepted = gn_counters_get(all, "config.accepted");
	config->adopted = gn_counters_get(all, "config.adopted");
	config->pushed = gn_counters_get(all, "config.pushed");
	config->fetched = gn_counters_get(all, "config.fetched");
	config->store = gn_store_create(config, &options);
	return config->store ? GN_OK : GN_ERR_MEMORY;
}

void entry_config_tick(entry_t *entry)
{
	gn_store_tick(entry->config->store);
	entry_config_fetch_from_peers(entry);
}
