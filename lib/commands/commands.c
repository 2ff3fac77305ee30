#include "commands/commands.h"

const gn_ctl_command_t gn_commands[] = {
	{ "import-inventory", "replace the inventory by a file's",
	  gn_command_import_inventory },
	{ "set-rules", "replace the rules by a file's", gn_command_set_rules },
	{ "drain", "give a host no new work", gn_command_drain },
	{ "resume", "end the drain of a host", gn_command_resume },
	{ "submit", "submit a batch job or a standing task",
	  gn_command_submit },
	{ "cancel", "cancel a job or all of a team's", gn_command_cancel },
	{ NULL, NULL, NULL },
};
