#include "common/wake_timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#define NS_PER_US 1000

struct gn_wake_timer_s {
	int fd;
	gn_wake_timer_fn_t callback;
	void *context;
};

static int timer_destructor(gn_wake_timer_t *wake)
{
	if (wake->fd >= 0)
		close(wake->fd);
	return 0;
}

static void take_event(struct tevent_context *loop, struct tevent_fd *event,
		       uint16_t flags, void *context)
{
	gn_wake_timer_t *wake = context;
	uint64_t expirations;

	(void)loop;
	(void)event;
	(void)flags;
	if (read(wake->fd, &expirations, sizeof(expirations)) ==
	    (ssize_t)sizeof(expirations))
		wake->callback(wake->context);
}

gn_wake_timer_t *gn_wake_timer_create(TALLOC_CTX *parent,
				      struct tevent_context *loop,
				      gn_wake_timer_fn_t callback,
				      void *context)
{
	gn_wake_timer_t *wake = talloc_zero(parent, gn_wake_timer_t);

	if (!wake)
		return NULL;
	wake->callback = callback;
	wake->context = context;
	wake->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(wake, timer_destructor);
	if (wake->fd < 0 || !tevent_add_fd(loop, wake, wake->fd, TEVENT_FD_READ,
					   take_event, wake)) {
		talloc_free(wake);
		return NULL;
	}
	return wake;
}

static void set_timer(gn_wake_timer_t *wake, uint64_t seconds, uint64_t ns)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = (time_t)seconds;
	spec.it_value.tv_nsec = (long)ns;
	timerfd_settime(wake->fd, 0, &spec, NULL);
}

void gn_wake_timer_start(gn_wake_timer_t *wake, uint64_t delay_us)
{
	/* A time of zero would stop the timer. */
	if (!delay_us)
		delay_us = 1;
	set_timer(wake, delay_us / GN_US_PER_S,
		  delay_us % GN_US_PER_S * NS_PER_US);
}

void gn_wake_timer_stop(gn_wake_timer_t *wake)
{
	set_timer(wake, 0, 0);
}
