/**
 * @file main.c
 * @brief Command line tool; see lib/ctl/ctl.h.
 */
#include <stdio.h>

#include "commands/commands.h"
#include "queries/queries.h"

int main(int argc, char **argv)
{
	static const gn_ctl_group_t groups[] = {
		{ "Commands that change state", gn_commands },
		{ "Queries that only read", gn_queries },
		{ NULL, NULL },
	};

	return gn_ctl_run(groups, argc, argv, stdout, stderr);
}
