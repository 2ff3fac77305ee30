#include "platform/boot_timer_internal.h"

#include <sys/timerfd.h>
#include <unistd.h>

#define NS_PER_US 1000

struct gn_boot_timer_s {
	int fd;
	gn_boot_timer_fn_t callback;
	void *context;
};

static int timer_destructor(gn_boot_timer_t *timer)
{
	if (timer->fd >= 0)
		close(timer->fd);
	return 0;
}

static void on_expired(struct tevent_context *loop, struct tevent_fd *event,
		       uint16_t flags, void *context)
{
	gn_boot_timer_t *timer = context;
	uint64_t expirations;

	(void)loop;
	(void)event;
	(void)flags;
	if (read(timer->fd, &expirations, sizeof(expirations)) ==
	    (ssize_t)sizeof(expirations))
		timer->callback(timer->context);
}

gn_boot_timer_t *gn_boot_timer_create(TALLOC_CTX *parent,
				      struct tevent_context *loop,
				      gn_boot_timer_fn_t callback,
				      void *context)
{
	gn_boot_timer_t *timer = talloc_zero(parent, gn_boot_timer_t);

	if (!timer)
		return NULL;
	timer->callback = callback;
	timer->context = context;
	timer->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(timer, timer_destructor);
	if (timer->fd < 0 ||
	    !tevent_add_fd(loop, timer, timer->fd, TEVENT_FD_READ, on_expired,
			   timer)) {
		talloc_free(timer);
		return NULL;
	}
	return timer;
}

static void set_timer(gn_boot_timer_t *timer, uint64_t seconds, uint64_t ns)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = (time_t)seconds;
	spec.it_value.tv_nsec = (long)ns;
	timerfd_settime(timer->fd, 0, &spec, NULL);
}

void gn_boot_timer_start(gn_boot_timer_t *timer, uint64_t delay_us)
{
	/* A time of zero would stop the timer. */
	if (!delay_us)
		delay_us = 1;
	set_timer(timer, delay_us / GN_US_PER_S,
		  delay_us % GN_US_PER_S * NS_PER_US);
}

void gn_boot_timer_stop(gn_boot_timer_t *timer)
{
	set_timer(timer, 0, 0);
}
