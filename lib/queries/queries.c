#include "queries/queries.h"

const gn_ctl_command_t gn_queries[] = {
	{ "status", "show an entry and what it sees", gn_query_status },
	{ "hosts", "list the hosts", gn_query_hosts },
	{ "jobs", "list the jobs", gn_query_jobs },
	{ "job", "show one job", gn_query_job },
	{ "config", "show the configuration in force", gn_query_config },
	{ "change", "tell what became of a change", gn_query_change },
	{ "dump", "print the whole state of a process", gn_query_dump },
	{ "check", "check a document offline", gn_query_check },
	{ NULL, NULL, NULL },
};
