/**
 * @file batch_model_platform.c
 * @brief The platform of the model: one member record and one bucket value.
 */
#include <string.h>

#include "support/batch_model_internal.h"

static int find_member(const platform_t *platform, uint64_t incarnation)
{
	for (size_t i = 0; i < platform->count; i++) {
		if (platform->members[i].incarnation == incarnation)
			return (int)i;
	}
	return -1;
}

static bool is_live(const gn_model_t *model, int member)
{
	return member >= 0 &&
	       model->platform.members[member].lease_until_us > model->now_us;
}

static void renew(gn_model_t *model, uint64_t incarnation, uint64_t acked)
{
	int member = find_member(&model->platform, incarnation);

	if (!is_live(model, member))
		return;
	model->platform.members[member].lease_until_us =
		model->now_us + KV_LEASE_US;
	if (acked > model->platform.members[member].acked)
		model->platform.members[member].acked = acked;
}

static void join(gn_model_t *model, uint64_t incarnation, uint64_t revision)
{
	platform_t *platform = &model->platform;

	/* Incarnations are never reused, so a known one must not join again. */
	if (revision != platform->revision || platform->count == MEMBERS_MAX ||
	    find_member(platform, incarnation) >= 0)
		return;
	platform->revision++;
	platform->members[platform->count].incarnation = incarnation;
	platform->members[platform->count].joined = platform->revision;
	platform->members[platform->count].acked = 0;
	platform->members[platform->count].lease_until_us =
		model->now_us + KV_LEASE_US;
	platform->count++;
}

static void remove_member(gn_model_t *model, uint64_t incarnation,
			  uint64_t revision)
{
	platform_t *platform = &model->platform;
	int member = find_member(platform, incarnation);

	if (revision != platform->revision || member < 0 ||
	    is_live(model, member))
		return;
	platform->revision++;
	platform->members[member] = platform->members[--platform->count];
}

static void answer_view(gn_model_t *model, const message_t *asked)
{
	const platform_t *platform = &model->platform;
	message_t *answer = model_create_message(model, MSG_VIEW, NODE_PLATFORM,
						 asked->from);
	view_t *view = talloc_zero(answer, view_t);

	view->revision = platform->revision;
	view->count = platform->count;
	for (size_t i = 0; i < platform->count; i++) {
		view->members[i].incarnation = platform->members[i].incarnation;
		view->members[i].joined = platform->members[i].joined;
		view->members[i].acked = platform->members[i].acked;
		view->members[i].is_live = is_live(model, (int)i);
	}
	view->is_asker_live =
		is_live(model, find_member(platform, asked->from_incarnation));
	answer->view = view;
	answer->answers = asked->type;
	answer->sent_us = asked->sent_us;
	answer->to_incarnation = asked->from_incarnation;
	model_send(model, answer);
}

static void answer_read(gn_model_t *model, const message_t *asked)
{
	const platform_t *platform = &model->platform;
	message_t *answer = model_create_message(model, MSG_READ_ANSWER,
						 NODE_PLATFORM, asked->from);

	answer->sent_us = asked->sent_us;
	answer->to_incarnation = asked->from_incarnation;
	answer->revision = platform->value_revision;
	answer->value.data = talloc_memdup(answer, platform->value.data,
					   platform->value.len);
	answer->value.len = platform->value.len;
	model_send(model, answer);
}

static void write_value(gn_model_t *model, const message_t *asked)
{
	platform_t *platform = &model->platform;
	message_t *answer = model_create_message(model, MSG_WRITE_ANSWER,
						 NODE_PLATFORM, asked->from);

	answer->to_incarnation = asked->from_incarnation;
	answer->a = asked->a;
	answer->code = GN_ERR_CONFLICT;
	if (asked->revision == platform->value_revision) {
		talloc_free((void *)platform->value.data);
		platform->value.data = talloc_memdup(model, asked->value.data,
						     asked->value.len);
		platform->value.len = asked->value.len;
		platform->value_revision++;
		answer->code = GN_OK;
	}
	answer->revision = platform->value_revision;
	model_send(model, answer);
}

void model_platform_handle(gn_model_t *model, message_t *message)
{
	if (!model->platform.up)
		return;
	switch (message->type) {
	case MSG_RENEW:
		renew(model, message->from_incarnation, message->a);
		answer_view(model, message);
		break;
	case MSG_JOIN:
		join(model, message->from_incarnation, message->a);
		answer_view(model, message);
		break;
	case MSG_REMOVE:
		remove_member(model, message->b, message->a);
		answer_view(model, message);
		break;
	case MSG_READ:
		answer_read(model, message);
		break;
	case MSG_WRITE:
		write_value(model, message);
		/* The transport may resend a request on its own. */
		if (model_chance(model, .01)) {
			model->counts->write_sent_twice++;
			write_value(model, message);
		}
		break;
	default:
		g_assert_not_reached();
	}
}
