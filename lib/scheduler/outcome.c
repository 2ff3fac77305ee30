#include "scheduler/outcome.h"

gn_job_result_t scheduler_get_outcome(gn_job_call_kind_t kind,
				      gn_job_result_t result, bool uncertain)
{
	bool changes = kind == GN_CALL_SUBMIT || kind == GN_CALL_CANCEL;

	if (uncertain && kind == GN_CALL_SUBMIT && result == GN_RESULT_REFUSED)
		return GN_RESULT_UNKNOWN;
	if (uncertain && changes && result == GN_RESULT_NOT_LEADER)
		return GN_RESULT_UNKNOWN;
	return result;
}
