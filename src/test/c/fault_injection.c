/*
 * Fault injection for our own tests: loaded by LD_PRELOAD into a `serve` process that a test starts. It stands before
 * the C library's functions that the Java runtime calls, and steps the wall clock, fails or shortens calls on sockets,
 * and fails calls on files below a folder. The monotonic clock is never touched. Without settings nothing changes.
 *
 * Environment:
 *   FAULT_CONTROL  a file of at least 128 bytes, mapped; the test changes it while the process runs (struct control)
 *   FAULT_SEED     a number, from which the choice of the calls that fail follows
 *   FAULT_CALLS    rules, separated by commas: CALL=ERROR|ERROR...@RATE or CALL=ERROR|...#N (the N-th call, from 1).
 *                  CALL is accept, bind, connect, epoll_create, epoll_ctl, epoll_wait, eventfd, listen, poll, read,
 *                  setsockopt, socket or write; ERROR is a name of errno, or SHORT for a read or write of fewer bytes.
 *                  On a connection that was accepted, read and write fail only by EINTR or SHORT; on one that was
 *                  dialled, any other error also breaks the connection, so that the peer sees its end too.
 *   FAULT_CLOCK    steps of the wall clock: MS:+STEP,MS:-STEP... (MS since the start; STEP in milliseconds, added up)
 *   FAULT_LISTEN   a port of the loopback address: descriptor 0 becomes a listening socket there, as a platform passes it
 *   FAULT_FOLDER   the folder whose files fail while the control file's disk_error is set
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* What the test and the process share. All numbers are 64 bits wide, in the machine's order. FaultControl.java has the
 * same places. */
struct control {
    int64_t clock_offset_ms; /* added to the wall clock, beside FAULT_CLOCK */
    int64_t calls_off;       /* not 0: no call on a socket fails */
    int64_t disk_error;      /* 0, or the errno with which files below the folder fail */
    int64_t socket_faults;   /* calls on sockets that were failed or cut short so far */
    int64_t disk_faults;     /* calls on files that were failed so far */
    int64_t clock_steps;     /* changes of the offset that a reader of the wall clock has met */
    int64_t clock_reads;     /* readings of the wall clock, which shows that the library is in place */

};

enum call { ACCEPT, BIND, CONNECT, EPOLL_CREATE, EPOLL_CTL, EPOLL_WAIT, EVENTFD, LISTEN, POLL, READ, SETSOCKOPT, SOCKET,
    WRITE, CALLS };
static const char *const CALL_NAMES[CALLS] = { "accept", "bind", "connect", "epoll_create", "epoll_ctl", "epoll_wait",
    "eventfd", "listen", "poll", "read", "setsockopt", "socket", "write" };

#define SHORT (-2) /* stands beside the errnos of a rule */
static const struct { const char *name; int value; } ERRORS[] = {
    { "SHORT", SHORT }, { "EACCES", EACCES }, { "EADDRINUSE", EADDRINUSE }, { "EADDRNOTAVAIL", EADDRNOTAVAIL },
    { "EAGAIN", EAGAIN }, { "ECONNABORTED", ECONNABORTED }, { "ECONNREFUSED", ECONNREFUSED },
    { "ECONNRESET", ECONNRESET }, { "EHOSTDOWN", EHOSTDOWN }, { "EHOSTUNREACH", EHOSTUNREACH }, { "EINTR", EINTR },
    { "EIO", EIO }, { "EMFILE", EMFILE }, { "ENETDOWN", ENETDOWN }, { "ENETUNREACH", ENETUNREACH },
    { "ENFILE", ENFILE }, { "ENOBUFS", ENOBUFS }, { "ENODEV", ENODEV }, { "ENOMEM", ENOMEM }, { "ENONET", ENONET },
    { "ENOPROTOOPT", ENOPROTOOPT }, { "ENOSPC", ENOSPC }, { "EOPNOTSUPP", EOPNOTSUPP }, { "EPERM", EPERM },
    { "EPIPE", EPIPE }, { "EPROTO", EPROTO }, { "ETIMEDOUT", ETIMEDOUT },
};

#define MOST_ERRORS 24
struct rule {
    int errors[MOST_ERRORS];
    int count;
    double rate;  /* of the calls, or 0 */
    uint64_t nth; /* only this call, or 0 */
    uint64_t calls;
};

#define MOST_STEPS 16
static struct { int64_t at_ms; int64_t step_ms; } steps[MOST_STEPS];
static int step_count;
static struct rule rules[CALLS];
static struct control unmapped;
static struct control *control = &unmapped;
static uint64_t seed;
static uint64_t draws;
static int64_t last_offset;
static struct timespec start;
static char folder[4096];

/* What is known of a descriptor; numbers beyond the table never fail. */
enum role { UNKNOWN, UNCONNECTED, ACCEPTED, DIALLED, FILE_BELOW };
#define DESCRIPTORS 65536
static unsigned char roles[DESCRIPTORS];

static void set_role(int descriptor, enum role role) {
    if (descriptor >= 0 && descriptor < DESCRIPTORS) {
        roles[descriptor] = (unsigned char) role;
    }
}

static enum role role_of(int descriptor) {
    return descriptor >= 0 && descriptor < DESCRIPTORS ? (enum role) roles[descriptor] : UNKNOWN;
}

/* Declares REAL_name, the C library's function, looked up when it is first called. */
#define REAL(result, name, ...) \
    typedef result (*name##_function)(__VA_ARGS__); \
    static name##_function REAL_##name(void) { \
        static name##_function found; \
        if (!found) { \
            *(void **) &found = dlsym(RTLD_NEXT, #name); \
        } \
        return found; \
    }

REAL(int, clock_gettime, clockid_t, struct timespec *)
REAL(int, close, int)
REAL(int, dup2, int, int)
REAL(int, accept, int, struct sockaddr *, socklen_t *)
REAL(int, accept4, int, struct sockaddr *, socklen_t *, int)
REAL(int, bind, int, const struct sockaddr *, socklen_t)
REAL(int, connect, int, const struct sockaddr *, socklen_t)
REAL(int, listen, int, int)
REAL(int, socket, int, int, int)
REAL(int, setsockopt, int, int, int, const void *, socklen_t)
REAL(int, epoll_create1, int)
REAL(int, epoll_ctl, int, int, int, struct epoll_event *)
REAL(int, epoll_wait, int, struct epoll_event *, int, int)
REAL(int, eventfd, unsigned int, int)
REAL(int, poll, struct pollfd *, nfds_t, int)
REAL(ssize_t, read, int, void *, size_t)
REAL(ssize_t, readv, int, const struct iovec *, int)
REAL(ssize_t, write, int, const void *, size_t)
REAL(ssize_t, writev, int, const struct iovec *, int)
REAL(ssize_t, pwrite64, int, const void *, size_t, off_t)
REAL(int, open, const char *, int, ...)
REAL(int, open64, const char *, int, ...)
REAL(int, fsync, int)
REAL(int, fdatasync, int)
REAL(int, ftruncate64, int, off_t)
REAL(int, rename, const char *, const char *)

/* ---- Settings ---------------------------------------------------------------------------------------------------- */

static void refuse(const char *what, const char *text) {
    fprintf(stderr, "fault_injection: %s cannot be used: %s\n", what, text);
    _exit(2);
}

static int error_of(const char *name) {
    for (size_t i = 0; i < sizeof ERRORS / sizeof *ERRORS; i++) {
        if (strcmp(ERRORS[i].name, name) == 0) {
            return ERRORS[i].value;
        }
    }
    refuse("FAULT_CALLS", name);
    return 0;
}

static struct rule *rule_of(const char *name) {
    for (int i = 0; i < CALLS; i++) {
        if (strcmp(CALL_NAMES[i], name) == 0) {
            return &rules[i];
        }
    }
    refuse("FAULT_CALLS", name);
    return NULL;
}

/* One rule, CALL=ERROR|ERROR@RATE or CALL=ERROR|ERROR#N; the text is changed. */
static void read_rule(char *text) {
    char *errors = strchr(text, '=');
    char *amount = errors ? strpbrk(errors, "@#") : NULL;
    if (!amount) {
        refuse("FAULT_CALLS", text);
        return;
    }
    char kind = *amount;
    *errors++ = 0;
    *amount++ = 0;
    struct rule *rule = rule_of(text);
    if (kind == '@') {
        rule->rate = strtod(amount, NULL);
    } else {
        rule->nth = strtoull(amount, NULL, 10);
    }
    char *rest = NULL;
    for (char *error = strtok_r(errors, "|", &rest); error; error = strtok_r(NULL, "|", &rest)) {
        if (rule->count < MOST_ERRORS) {
            rule->errors[rule->count++] = error_of(error);
        }
    }
}

static void read_rules(char *text) {
    char *rest = NULL;
    for (char *rule = strtok_r(text, ",", &rest); rule; rule = strtok_r(NULL, ",", &rest)) {
        read_rule(rule);
    }
}

static void read_steps(char *text) {
    char *rest = NULL;
    for (char *step = strtok_r(text, ",", &rest); step; step = strtok_r(NULL, ",", &rest)) {
        char *colon = strchr(step, ':');
        if (!colon || step_count == MOST_STEPS) {
            refuse("FAULT_CLOCK", step);
            return;
        }
        steps[step_count].at_ms = strtoll(step, NULL, 10);
        steps[step_count++].step_ms = strtoll(colon + 1, NULL, 10);
    }
}

static void map_control(const char *path) {
    int file = REAL_open()(path, O_RDWR);
    void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED) {
        refuse("FAULT_CONTROL", path);
        return;
    }
    REAL_close()(file);
    control = mapped;
}

/* Hands a copy of a variable to a reader that cuts it into pieces. */
static void with_setting(const char *name, void (*reader)(char *)) {
    const char *value = getenv(name);
    char *copy = value ? strdup(value) : NULL;
    if (copy) {
        reader(copy);
        free(copy);
    }
}

/* Makes descriptor 0 a listening socket, unless it is one already. */
static void listen_on(const char *port) {
    int listening = 0;
    socklen_t length = sizeof listening;
    if (getsockopt(0, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) == 0 && listening) {
        return;
    }
    int on = 1;
    struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((uint16_t) atoi(port)) };
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int socket = REAL_socket()(AF_INET, SOCK_STREAM, 0);
    REAL_setsockopt()(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (REAL_bind()(socket, (struct sockaddr *) &address, sizeof address) != 0 || REAL_listen()(socket, 512) != 0
            || REAL_dup2()(socket, 0) != 0) {
        refuse("FAULT_LISTEN", port);
    }
    if (socket != 0) {
        REAL_close()(socket);
    }
}

__attribute__((constructor)) static void begin(void) {
    REAL_clock_gettime()(CLOCK_MONOTONIC, &start);
    const char *text = getenv("FAULT_SEED");
    seed = text ? strtoull(text, NULL, 10) : 1;
    with_setting("FAULT_CALLS", read_rules);
    with_setting("FAULT_CLOCK", read_steps);
    text = getenv("FAULT_FOLDER");
    if (text) {
        snprintf(folder, sizeof folder, "%s/", text);
    }
    text = getenv("FAULT_LISTEN");
    if (text) {
        listen_on(text);
    }
    text = getenv("FAULT_CONTROL");
    if (text) {
        map_control(text);
    }
}

/* ---- Chance ------------------------------------------------------------------------------------------------------ */

/* The next number of the sequence that the seed gives (SplitMix64); threads may share it. */
static uint64_t draw(void) {
    uint64_t mixed = seed * 0x9E3779B97F4A7C15u + __atomic_add_fetch(&draws, 1, __ATOMIC_RELAXED) * 0xD1342543DE82EF95u;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBu;
    return mixed ^ (mixed >> 31);
}

static void count(int64_t *counter) {
    __atomic_add_fetch(counter, 1, __ATOMIC_RELAXED);
}

/* The error with which a call is to fail now, SHORT, or 0. */
static int fault(enum call call) {
    struct rule *rule = &rules[call];
    if (rule->count == 0 || __atomic_load_n(&control->calls_off, __ATOMIC_RELAXED)) {
        return 0;
    }
    uint64_t number = __atomic_add_fetch(&rule->calls, 1, __ATOMIC_RELAXED);
    if (rule->nth ? number != rule->nth : (double) (draw() >> 11) / 9007199254740992.0 >= rule->rate) {
        return 0;
    }
    return rule->errors[draw() % (uint64_t) rule->count];
}

static int failing(int error) {
    count(&control->socket_faults);
    errno = error;
    return -1;
}

/* The error of a read or write on a connection: one that breaks it only where it was dialled, and then it is broken. */
static int connection_fault(enum call call, int descriptor) {
    enum role role = role_of(descriptor);
    if (role != ACCEPTED && role != DIALLED) {
        return 0;
    }
    int error = fault(call);
    if (error == 0 || error == SHORT || error == EINTR) {
        return error;
    }
    if (role == ACCEPTED) {
        return 0;
    }
    shutdown(descriptor, SHUT_RDWR);
    return error;
}

/* A length from 1 to one byte less than it is; 1 stays. */
static size_t shortened(size_t length) {
    if (length < 2) {
        return length;
    }
    count(&control->socket_faults);
    return 1 + (size_t) (draw() % (length - 1));
}

/* ---- The wall clock ---------------------------------------------------------------------------------------------- */

static int64_t offset_ms(void) {
    int64_t offset = __atomic_load_n(&control->clock_offset_ms, __ATOMIC_RELAXED);
    if (step_count > 0) {
        struct timespec now;
        REAL_clock_gettime()(CLOCK_MONOTONIC, &now);
        int64_t ran_ms = (now.tv_sec - start.tv_sec) * 1000 + (now.tv_nsec - start.tv_nsec) / 1000000;
        for (int i = 0; i < step_count; i++) {
            offset += ran_ms >= steps[i].at_ms ? steps[i].step_ms : 0;
        }
    }
    count(&control->clock_reads);
    if (__atomic_exchange_n(&last_offset, offset, __ATOMIC_RELAXED) != offset) {
        count(&control->clock_steps);
    }
    return offset;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL_clock_gettime()(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t offset = offset_ms();
        time->tv_sec += offset / 1000;
        time->tv_nsec += offset % 1000 * 1000000;
        if (time->tv_nsec >= 1000000000) {
            time->tv_sec++;
            time->tv_nsec -= 1000000000;
        } else if (time->tv_nsec < 0) {
            time->tv_sec--;
            time->tv_nsec += 1000000000;
        }
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0) {
        return -1;
    }
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

/* ---- Sockets ----------------------------------------------------------------------------------------------------- */

int socket(int domain, int type, int protocol) {
    int error = fault(SOCKET);
    if (error) {
        return failing(error);
    }
    int descriptor = REAL_socket()(domain, type, protocol);
    set_role(descriptor, UNCONNECTED);
    return descriptor;
}

int close(int descriptor) {
    set_role(descriptor, UNKNOWN);
    return REAL_close()(descriptor);
}

int dup2(int from, int to) {
    set_role(to, UNKNOWN);
    return REAL_dup2()(from, to);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    int error = fault(ACCEPT);
    if (error) {
        return failing(error);
    }
    int accepted = REAL_accept()(descriptor, address, length);
    set_role(accepted, ACCEPTED);
    return accepted;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    int error = fault(ACCEPT);
    if (error) {
        return failing(error);
    }
    int accepted = REAL_accept4()(descriptor, address, length, flags);
    set_role(accepted, ACCEPTED);
    return accepted;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    int error = role_of(descriptor) == UNCONNECTED ? fault(CONNECT) : 0;
    if (error && error != EINTR) {
        return failing(error);
    }
    if (role_of(descriptor) == UNCONNECTED) {
        set_role(descriptor, DIALLED);
    }
    int result = REAL_connect()(descriptor, address, length);
    /* An interrupted connect goes on in the kernel, so that the connection comes up later. */
    return error ? failing(error) : result;
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length) {
    int error = fault(BIND);
    return error ? failing(error) : REAL_bind()(descriptor, address, length);
}

int listen(int descriptor, int backlog) {
    int error = fault(LISTEN);
    return error ? failing(error) : REAL_listen()(descriptor, backlog);
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t length) {
    int error = fault(SETSOCKOPT);
    return error ? failing(error) : REAL_setsockopt()(descriptor, level, name, value, length);
}

int epoll_create1(int flags) {
    int error = fault(EPOLL_CREATE);
    return error ? failing(error) : REAL_epoll_create1()(flags);
}

int epoll_ctl(int epoll, int operation, int descriptor, struct epoll_event *event) {
    int error = operation == EPOLL_CTL_DEL ? 0 : fault(EPOLL_CTL);
    return error ? failing(error) : REAL_epoll_ctl()(epoll, operation, descriptor, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    int error = fault(EPOLL_WAIT);
    return error ? failing(error) : REAL_epoll_wait()(epoll, events, most, timeout);
}

int eventfd(unsigned int value, int flags) {
    int error = fault(EVENTFD);
    return error ? failing(error) : REAL_eventfd()(value, flags);
}

int poll(struct pollfd *descriptors, nfds_t number, int timeout) {
    int error = fault(POLL);
    return error ? failing(error) : REAL_poll()(descriptors, number, timeout);
}

ssize_t read(int descriptor, void *bytes, size_t length) {
    int error = connection_fault(READ, descriptor);
    if (error && error != SHORT) {
        return failing(error);
    }
    return REAL_read()(descriptor, bytes, error == SHORT ? shortened(length) : length);
}

ssize_t readv(int descriptor, const struct iovec *parts, int number) {
    int error = connection_fault(READ, descriptor);
    if (error == SHORT && number > 0) {
        return REAL_read()(descriptor, parts[0].iov_base, shortened(parts[0].iov_len));
    }
    return error && error != SHORT ? failing(error) : REAL_readv()(descriptor, parts, number);
}

/* ---- Files below the folder -------------------------------------------------------------------------------------- */

/* Whether a call on a file is to fail now; errno is set then. */
static int disk_fault(void) {
    int error = (int) __atomic_load_n(&control->disk_error, __ATOMIC_RELAXED);
    if (error) {
        count(&control->disk_faults);
        errno = error;
    }
    return error;
}

static int below(const char *path) {
    return folder[0] && strncmp(path, folder, strlen(folder)) == 0;
}

static int open_below(open_function real, const char *path, int flags, mode_t mode) {
    if (!below(path)) {
        return real(path, flags, mode);
    }
    if ((flags & O_CREAT) && disk_fault()) {
        return -1;
    }
    int descriptor = real(path, flags, mode);
    set_role(descriptor, FILE_BELOW);
    return descriptor;
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return open_below(REAL_open(), path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return open_below(REAL_open64(), path, flags, mode);
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    if (role_of(descriptor) == FILE_BELOW && disk_fault()) {
        return -1;
    }
    int error = connection_fault(WRITE, descriptor);
    if (error && error != SHORT) {
        return failing(error);
    }
    return REAL_write()(descriptor, bytes, error == SHORT ? shortened(length) : length);
}

ssize_t writev(int descriptor, const struct iovec *parts, int number) {
    if (role_of(descriptor) == FILE_BELOW && disk_fault()) {
        return -1;
    }
    int error = connection_fault(WRITE, descriptor);
    if (error == SHORT && number > 0) {
        return REAL_write()(descriptor, parts[0].iov_base, shortened(parts[0].iov_len));
    }
    return error && error != SHORT ? failing(error) : REAL_writev()(descriptor, parts, number);
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t length, off_t at) {
    return role_of(descriptor) == FILE_BELOW && disk_fault() ? -1 : REAL_pwrite64()(descriptor, bytes, length, at);
}

int fsync(int descriptor) {
    return role_of(descriptor) == FILE_BELOW && disk_fault() ? -1 : REAL_fsync()(descriptor);
}

int fdatasync(int descriptor) {
    return role_of(descriptor) == FILE_BELOW && disk_fault() ? -1 : REAL_fdatasync()(descriptor);
}

int ftruncate64(int descriptor, off_t length) {
    return role_of(descriptor) == FILE_BELOW && disk_fault() ? -1 : REAL_ftruncate64()(descriptor, length);
}

int rename(const char *from, const char *to) {
    return below(to) && disk_fault() ? -1 : REAL_rename()(from, to);
}
