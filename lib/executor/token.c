#include "executor/token.h"

uint64_t gn_token_get(const gn_token_t *token, uint64_t epoch)
{
	return epoch > token->lowest ? epoch : token->lowest;
}

bool gn_token_raise(gn_token_t *token, uint64_t epoch)
{
	if (token->is_raised)
		return false;
	token->lowest = gn_token_get(token, epoch) + 1;
	token->is_raised = true;
	return true;
}

void gn_token_record_call(gn_token_t *token)
{
	token->is_raised = false;
}

uint64_t gn_token_get_former(const gn_token_t *token, uint64_t epoch)
{
	return token->is_raised ? token->lowest - 1
				: gn_token_get(token, epoch);
}

void gn_token_begin_life(gn_token_t *token)
{
	token->is_raised = false;
}
