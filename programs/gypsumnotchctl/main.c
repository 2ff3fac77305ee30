/* The command line of gypsumnotch; see lib/ctl/ctl.h. */
#include <stdio.h>

#include "commands/commands.h"
#include "queries/queries.h"

int main(int argc, char **argv)
{
	static const gn_ctl_group_t groups[] = {
		{ "Commands, which change state", gn_commands },
		{ "Queries, which only read", gn_queries },
		{ NULL, NULL },
	};

	return gn_ctl_run(groups, argc, argv, stdout, stderr);
}
