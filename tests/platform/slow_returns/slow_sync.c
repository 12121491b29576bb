/* Replaces the syncs of the process. Each takes a random time, up to SLOW_SYNC_MS, from SLOW_SYNC_AFTER_MS
 * after its start. None reaches the disk, whose own delays would add to these; what was written outlives
 * the process all the same. */
#include <stdlib.h>
#include <time.h>

static long long started_ms;

static long long now_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static long read_ms(const char *name) {
    const char *value = getenv(name);
    return value == NULL ? 0 : atol(value);
}

__attribute__((constructor)) static void note_start(void) {
    started_ms = now_ms();
}

static void sleep_at_random(void) {
    static __thread unsigned int seed;
    long longest = read_ms("SLOW_SYNC_MS");
    struct timespec span;
    long ms;

    if (longest <= 0 || now_ms() - started_ms < read_ms("SLOW_SYNC_AFTER_MS")) return;
    if (seed == 0) {
        clock_gettime(CLOCK_MONOTONIC, &span);
        seed = (unsigned int)span.tv_nsec | 1;
    }
    ms = rand_r(&seed) % (longest + 1);
    span.tv_sec = ms / 1000;
    span.tv_nsec = ms % 1000 * 1000000;
    nanosleep(&span, NULL);
}

int fsync(int fd) {
    (void)fd;
    sleep_at_random();
    return 0;
}

int fdatasync(int fd) {
    return fsync(fd);
}
