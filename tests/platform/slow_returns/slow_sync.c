/* Sleeps before each sync of the process for a random time, up to SLOW_SYNC_MS. */
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static void sleep_at_random(void) {
    static __thread unsigned int seed;
    const char *longest = getenv("SLOW_SYNC_MS");
    struct timespec now, span;
    long ms;

    if (longest == NULL || atol(longest) <= 0) return;
    if (seed == 0) {
        clock_gettime(CLOCK_MONOTONIC, &now);
        seed = (unsigned int)now.tv_nsec | 1;
    }
    ms = rand_r(&seed) % (atol(longest) + 1);
    span.tv_sec = ms / 1000;
    span.tv_nsec = ms % 1000 * 1000000;
    nanosleep(&span, NULL);
}

int fsync(int fd) {
    sleep_at_random();
    return (int)syscall(SYS_fsync, fd);
}

int fdatasync(int fd) {
    sleep_at_random();
    return (int)syscall(SYS_fdatasync, fd);
}
