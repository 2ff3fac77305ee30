#include "queries/queries.h"

const gn_ctl_command_t gn_queries[] = {
	{ "status", "show the state of an entry", gn_query_status },
	{ "hosts", "list the hosts", gn_query_hosts },
	{ "jobs", "list the jobs", gn_query_jobs },
	{ "job", "show one job", gn_query_job },
	{ "config", "show the active configuration", gn_query_config },
	{ "change", "show the outcome of a change", gn_query_change },
	{ "evacuations", "list the evacuations that a scheduler knows",
	  gn_query_evacuations },
	{ "dump", "print the full state of a process", gn_query_dump },
	{ "check", "check a document offline", gn_query_check },
	{ NULL, NULL, NULL },
};
