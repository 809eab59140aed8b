/*
 * A preloaded library that injects faults of the operating system into one process: steps of the wall clock, and system calls that fail or
 * transfer only a part of the bytes. The control file contains the offset of the clock and the calls that fail. It is mapped into the
 * process and written by the lab; see Shim.java for its layout.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL, FILE_WRITE, FSYNC, RENAME, CALLS };
enum { SHORT = -1, HALF_AND_DIE = -2, NONE = 0 };

struct fault { volatile int32_t error; volatile int32_t permille; };
struct control { volatile int64_t clock_offset_ns; volatile int64_t reserved; struct fault faults[CALLS]; };

static struct control *control;

/* Maps the control file, which lies next to the log of the process. Without one, no faults are injected. */
__attribute__((constructor)) static void map_control(void) {
    const char *log = getenv("LOG");
    char path[4096];
    if (log == NULL || strlen(log) + 6 > sizeof path) {
        return;
    }
    strcpy(path, log);
    strcat(path, ".shim");
    int fd = open(path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    control = mapped == MAP_FAILED ? NULL : mapped;
}

/* Decides at random, with an xorshift generator per thread, whether a call fails. Returns its error, or NONE. */
static int draw_error(enum call call) {
    static __thread uint64_t state;
    if (control == NULL || control->faults[call].permille == 0) {
        return NONE;
    }
    if (state == 0) {
        state = (uint64_t) (uintptr_t) &state ^ ((uint64_t) getpid() << 32) ^ 0x9e3779b97f4a7c15ULL;
    }
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (int32_t) (state % 1000) < control->faults[call].permille ? control->faults[call].error : NONE;
}

/* Looks up the function of the C library that the library replaces. */
#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) { \
        real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, name); \
    }

/* Returns from the replaced function with an error if the call is to fail. */
#define FAIL(call) \
    do { \
        int error_ = draw_error(call); \
        if (error_ > 0) { \
            errno = error_; \
            return -1; \
        } \
    } while (0)

static int has_type(int fd, mode_t type) {
    struct stat status;
    return fstat(fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

int clock_gettime(clockid_t clock, struct timespec *to) {
    REAL(int, "clock_gettime", clockid_t, struct timespec *)
    int result = real(clock, to);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = (int64_t) to->tv_sec * 1000000000LL + to->tv_nsec + control->clock_offset_ns;
        to->tv_sec = nanos / 1000000000LL;
        to->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict to, void *restrict zone) {
    struct timespec now;
    (void) zone;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0) {
        return -1;
    }
    to->tv_sec = now.tv_sec;
    to->tv_usec = now.tv_nsec / 1000;
    return 0;
}

int accept(int fd, struct sockaddr *from, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *)
    FAIL(ACCEPT);
    return real(fd, from, length);
}

int accept4(int fd, struct sockaddr *from, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    FAIL(ACCEPT);
    return real(fd, from, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int)
    FAIL(SOCKET);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t)
    FAIL(CONNECT);
    return real(fd, to, length);
}

ssize_t read(int fd, void *to, size_t count) {
    REAL(ssize_t, "read", int, void *, size_t)
    if (control != NULL && control->faults[READ].permille > 0 && has_type(fd, S_IFSOCK)) {
        int error = draw_error(READ);
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT && count > 1) {
            count = 1 + count / 64;
        }
    }
    return real(fd, to, count);
}

ssize_t write(int fd, const void *from, size_t count) {
    REAL(ssize_t, "write", int, const void *, size_t)
    int has_faults = control != NULL && (control->faults[WRITE].permille > 0 || control->faults[FILE_WRITE].permille > 0);
    if (has_faults && fd > 2) {
        int error = has_type(fd, S_IFSOCK) ? draw_error(WRITE) : has_type(fd, S_IFREG) ? draw_error(FILE_WRITE) : NONE;
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT && count > 1) {
            count = count / 2;
        }
        if (error == HALF_AND_DIE) {
            real(fd, from, count / 2);
            raise(SIGKILL);
        }
    }
    return real(fd, from, count);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    FAIL(EPOLL);
    return real(fd, events, max_events, timeout);
}

int fsync(int fd) {
    REAL(int, "fsync", int)
    FAIL(FSYNC);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(int, "fdatasync", int)
    FAIL(FSYNC);
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(int, "rename", const char *, const char *)
    FAIL(RENAME);
    return real(from, to);
}
