#include "commands/commands.h"

const gn_ctl_command_t gn_commands[] = {
	{ "import-inventory", "replace the inventory from a file",
	  gn_command_import_inventory },
	{ "set-rules", "replace the rules from a file", gn_command_set_rules },
	{ "drain", "assign no new work to a host", gn_command_drain },
	{ "resume", "end the drain of a host", gn_command_resume },
	{ "submit", "submit a batch job or a standing task",
	  gn_command_submit },
	{ "cancel", "cancel a job or all jobs of a team", gn_command_cancel },
	{ NULL, NULL, NULL },
};
