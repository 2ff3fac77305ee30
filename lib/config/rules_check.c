/* Checks that what the rules refer to exists in the inventory. */
#include "config/rules_internal.h"
#include "config/schema.h"

static gn_code_t check_services(gn_schema_reader_t *reader,
				const gn_rules_t *rules,
				const gn_inventory_t *inventory)
{
	for (size_t i = 0; i < rules->service_count; i++) {
		const gn_service_t *service = &rules->services[i];

		for (size_t j = 0; j < service->data_centre_count; j++)
			if (!gn_inventory_find_data_centre(
				    inventory, service->data_centres[j]))
				return gn_schema_fail_at(
					reader, GN_ERR_INVALID, "service", i,
					"data_centres", "no data centre %s",
					service->data_centres[j]);
	}
	return GN_OK;
}

static gn_code_t check_windows(gn_schema_reader_t *reader,
			       const gn_rules_t *rules,
			       const gn_inventory_t *inventory)
{
	for (size_t i = 0; i < rules->window_count; i++) {
		const gn_window_t *window = &rules->windows[i];

		if (!gn_inventory_find_data_centre(inventory,
						   window->data_centre))
			return gn_schema_fail_at(reader, GN_ERR_INVALID,
						 "window", i, "data_centre",
						 "no data centre %s",
						 window->data_centre);
		if (window->rack &&
		    !gn_inventory_find_rack(inventory, window->data_centre,
					    window->rack))
			return gn_schema_fail_at(
				reader, GN_ERR_INVALID, "window", i, "rack",
				"no rack %s in %s", window->rack,
				window->data_centre);
	}
	return GN_OK;
}

static gn_code_t check_drains(gn_schema_reader_t *reader,
			      const gn_rules_t *rules,
			      const gn_inventory_t *inventory)
{
	for (size_t i = 0; i < rules->drain_count; i++)
		if (!gn_inventory_find_host(inventory, rules->drains[i].host))
			return gn_schema_fail_at(
				reader, GN_ERR_INVALID, "drain", i, "host",
				"no host %s", rules->drains[i].host);
	return GN_OK;
}

gn_code_t gn_rules_check(const gn_rules_t *rules, const char *source,
			 const gn_inventory_t *inventory, gn_error_t *error)
{
	gn_schema_reader_t reader = { .error = error,
				      .step = GN_RULES_STEP,
				      .peer = source };
	gn_code_t code = check_services(&reader, rules, inventory);

	if (!code)
		code = check_windows(&reader, rules, inventory);
	if (!code)
		code = check_drains(&reader, rules, inventory);
	return code;
}
