/* Adds and removes drains, the only part of the rules that commands change. */
#include <string.h>

#include "common/str.h"
#include "config/rules_internal.h"
#include "config/toml.h"

#define SOURCE "rules"
#define DRAIN_FORMAT "\n[[drain]]\nhost = \"%s\"\n"

/** Sets @p drained to whether the rules in @p text drain @p host. */
static gn_code_t get_drained(gn_str_t text, const char *host, bool *drained,
			     gn_error_t *error)
{
	gn_rules_t *rules;
	gn_code_t code;

	code = gn_rules_parse(NULL, SOURCE, text, NULL, &rules, error);
	if (code)
		return code;
	*drained = gn_rules_is_drained(rules, host);
	talloc_free(rules);
	return GN_OK;
}

static gn_code_t fail_memory(gn_error_t *error)
{
	return gn_error_set(error, GN_ERR_MEMORY, GN_RULES_STEP, SOURCE,
			    "out of memory");
}

/** Checks that @p text drains @p host; it doesn't if the name is invalid. */
static gn_code_t check_drain_added(gn_str_t text, const char *host,
				   gn_error_t *error)
{
	bool drained = false;
	gn_code_t code = get_drained(text, host, &drained, error);

	if (code || drained)
		return code;
	return gn_error_set(error, GN_ERR_INVALID, GN_RULES_STEP, SOURCE,
			    "not a valid host name");
}

static gn_code_t append_drain(TALLOC_CTX *parent, gn_str_t text,
			      const char *host, gn_str_t *changed,
			      gn_error_t *error)
{
	char *result = talloc_strndup(parent, text.data, text.len);
	gn_code_t code;

	if (result)
		result = talloc_asprintf_append_buffer(result, DRAIN_FORMAT,
						       host);
	if (!result)
		return fail_memory(error);
	code = check_drain_added(gn_str_from(result), host, error);
	if (code) {
		talloc_free(result);
		return code;
	}
	*changed = gn_str_from(result);
	return GN_OK;
}

/**
 * Removes the text that append_drain() added.
 * @return GN_OK, GN_ERR_NOT_FOUND (no such text) or GN_ERR_MEMORY
 */
static gn_code_t cut_appended_drain(TALLOC_CTX *parent, gn_str_t text,
				    const char *host, gn_str_t *changed)
{
	char *copy = talloc_strndup(parent, text.data, text.len);
	char *drain = talloc_asprintf(parent, DRAIN_FORMAT, host);
	char *at = copy && drain ? strstr(copy, drain) : NULL;
	gn_code_t code = GN_ERR_NOT_FOUND;

	if (!copy || !drain)
		code = GN_ERR_MEMORY;
	if (at) {
		memmove(at, at + strlen(drain), strlen(at + strlen(drain)) + 1);
		*changed = gn_str_from(copy);
		code = GN_OK;
	}
	if (code)
		talloc_free(copy);
	talloc_free(drain);
	return code;
}

static gn_code_t remove_drain(TALLOC_CTX *parent, gn_str_t text,
			      const char *host, gn_str_t *changed,
			      gn_error_t *error)
{
	char message[GN_TOML_MESSAGE_SIZE];
	gn_code_t code = cut_appended_drain(parent, text, host, changed);
	bool drained = true;

	/* Check the result: the text may have been in a string or comment. */
	if (!code && !get_drained(*changed, host, &drained, NULL) && !drained)
		return GN_OK;
	code = gn_toml_remove_tables(parent, text, "drain", "host", host,
				     changed, message);
	if (code)
		gn_error_set(error, code, GN_RULES_STEP, SOURCE, "%s", message);
	return code;
}

gn_code_t gn_rules_set_drain(TALLOC_CTX *parent, gn_str_t text,
			     const char *host, bool drained, gn_str_t *changed,
			     gn_error_t *error)
{
	bool was_drained = false;
	gn_code_t code = get_drained(text, host, &was_drained, error);
	char *copy;

	if (code)
		return code;
	if (was_drained != drained)
		return drained ? append_drain(parent, text, host, changed,
					      error)
			       : remove_drain(parent, text, host, changed,
					      error);
	copy = talloc_strndup(parent, text.data, text.len);
	if (!copy)
		return fail_memory(error);
	*changed = gn_str_from(copy);
	return GN_OK;
}
