/*
 * Makes system calls of one process fail on demand, for tests. The library is preloaded into a relay and reads the
 * faults from a small control file (FAULT_CONTROL) that the test maps and writes. Faults of the folder apply to files
 * whose path begins with FAULT_FOLDER.
 *
 * The control file consists of the words in the enum below (int32 in native byte order); 0 means no fault.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum {
    FOLDER_WRITE_ERRNO, /* writes to the folder fail with this errno */
    FOLDER_WRITE_HALF,  /* every other one of these writes writes half of its bytes instead of failing */
    FOLDER_OPEN_ERRNO,  /* opening files of the folder for writing fails with this errno */
    WALL_CLOCK_SECONDS, /* added to the wall clock */
    ACCEPT_ERRNO,
    CONNECT_ERRNO,
    SOCKET_PIECES,      /* reads from sockets return at most this many bytes, writes to sockets are halved */
    EPOLL_ERRNO,
    SOCKET_ERRNO,
    ACCEPT_CALLS,       /* counter written by this library */
    FOLDER_FAILURES,    /* counter written by this library: failed writes to the folder */
    SENDTO_ERRNO,
    RECV_ERRNO,         /* receiving a datagram fails with this errno */
    WORDS
};

static volatile int *control;
static const char *folder;

__attribute__((constructor)) static void begin(void) {
    const char *name = getenv("FAULT_CONTROL");
    folder = getenv("FAULT_FOLDER");
    int fd = name == NULL ? -1 : open(name, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *at = mmap(NULL, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    control = at == MAP_FAILED ? NULL : at;
    close(fd);
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) { \
        real = (type(*)(__VA_ARGS__)) dlsym(RTLD_NEXT, #name); \
    }

static int wanted(int word) {
    return control == NULL ? 0 : control[word];
}

static int fails(int word) {
    int error = wanted(word);
    if (error != 0) {
        errno = error;
    }
    return error != 0;
}

static int in_folder(int fd) {
    char link[64];
    char path[512];
    if (folder == NULL || control == NULL) {
        return 0;
    }
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t size = readlink(link, path, sizeof path - 1);
    if (size <= 0) {
        return 0;
    }
    path[size] = 0;
    return strncmp(path, folder, strlen(folder)) == 0;
}

static int is_socket(int fd) {
    struct stat about;
    return fstat(fd, &about) == 0 && S_ISSOCK(about.st_mode);
}

/* Returns -1 if the write fails (errno is set), 0 if it is unchanged, otherwise the number of bytes to write. */
static ssize_t folder_write(int fd, size_t size) {
    static volatile int halves;
    if (!wanted(FOLDER_WRITE_ERRNO) || !in_folder(fd)) {
        return 0;
    }
    if (wanted(FOLDER_WRITE_HALF) && size > 1 && (__sync_fetch_and_add(&halves, 1) & 1) == 0) {
        return (ssize_t) (size / 2);
    }
    __sync_fetch_and_add(&control[FOLDER_FAILURES], 1);
    errno = wanted(FOLDER_WRITE_ERRNO);
    return -1;
}

ssize_t write(int fd, const void *bytes, size_t size) {
    REAL(ssize_t, write, int, const void *, size_t)
    if (control != NULL && wanted(FOLDER_WRITE_ERRNO)) {
        ssize_t take = folder_write(fd, size);
        if (take < 0) {
            return -1;
        }
        if (take > 0) {
            size = (size_t) take;
        }
    }
    if (wanted(SOCKET_PIECES) && size > 1 && is_socket(fd)) {
        size = (size + 1) / 2;
    }
    return real(fd, bytes, size);
}

ssize_t pwrite64(int fd, const void *bytes, size_t size, off64_t at) {
    REAL(ssize_t, pwrite64, int, const void *, size_t, off64_t)
    if (control != NULL && wanted(FOLDER_WRITE_ERRNO)) {
        ssize_t take = folder_write(fd, size);
        if (take < 0) {
            return -1;
        }
        if (take > 0) {
            size = (size_t) take;
        }
    }
    return real(fd, bytes, size, at);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int)
    if (control != NULL && wanted(FOLDER_WRITE_ERRNO) && in_folder(fd)) {
        errno = wanted(FOLDER_WRITE_ERRNO);
        return -1;
    }
    return real(fd, parts, count);
}

ssize_t read(int fd, void *bytes, size_t size) {
    REAL(ssize_t, read, int, void *, size_t)
    int most = wanted(SOCKET_PIECES);
    if (most > 0 && size > (size_t) most && is_socket(fd)) {
        size = (size_t) most;
    }
    return real(fd, bytes, size);
}

static int refuse_open(const char *path, int flags) {
    return folder != NULL && (flags & (O_WRONLY | O_RDWR | O_CREAT)) && wanted(FOLDER_OPEN_ERRNO)
            && strncmp(path, folder, strlen(folder)) == 0 && fails(FOLDER_OPEN_ERRNO);
}

int open64(const char *path, int flags, ...) {
    REAL(int, open64, const char *, int, ...)
    va_list more;
    va_start(more, flags);
    int mode = va_arg(more, int);
    va_end(more);
    return refuse_open(path, flags) ? -1 : real(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *)
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        now->tv_sec += wanted(WALL_CLOCK_SECONDS);
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(int, gettimeofday, struct timeval *restrict, void *restrict)
    int result = real(now, zone);
    if (result == 0) {
        now->tv_sec += wanted(WALL_CLOCK_SECONDS);
    }
    return result;
}

static void count_accept(void) {
    if (control != NULL) {
        __sync_fetch_and_add(&control[ACCEPT_CALLS], 1);
    }
}

int accept(int fd, struct sockaddr *restrict from, socklen_t *restrict size) {
    REAL(int, accept, int, struct sockaddr *restrict, socklen_t *restrict)
    count_accept();
    return fails(ACCEPT_ERRNO) ? -1 : real(fd, from, size);
}

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict size, int flags) {
    REAL(int, accept4, int, struct sockaddr *restrict, socklen_t *restrict, int)
    count_accept();
    return fails(ACCEPT_ERRNO) ? -1 : real(fd, from, size, flags);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t)
    return fails(CONNECT_ERRNO) ? -1 : real(fd, to, size);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int)
    return fails(SOCKET_ERRNO) ? -1 : real(domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int)
    return fails(EPOLL_ERRNO) ? -1 : real(fd, events, most, timeout);
}

ssize_t sendto(int fd, const void *bytes, size_t size, int flags, const struct sockaddr *to, socklen_t length) {
    REAL(ssize_t, sendto, int, const void *, size_t, int, const struct sockaddr *, socklen_t)
    return to != NULL && fails(SENDTO_ERRNO) ? -1 : real(fd, bytes, size, flags, to, length);
}

ssize_t recvfrom(
        int fd, void *restrict bytes, size_t size, int flags, struct sockaddr *restrict from, socklen_t *restrict length) {
    REAL(ssize_t, recvfrom, int, void *restrict, size_t, int, struct sockaddr *restrict, socklen_t *restrict)
    ssize_t result = real(fd, bytes, size, flags, from, length);
    return from != NULL && result >= 0 && fails(RECV_ERRNO) ? -1 : result;
}
