/*
 * Injects system call faults and wall clock steps into a process under test. The dynamic linker preloads this library
 * (LD_PRELOAD); `src/system_faults.rs` sets the environment variables that are read here:
 *
 *   BADGERPOST_FAULTS      comma-separated faults, each as call:fault=permille, such as "recv:short=50,send:EINTR=20"
 *   BADGERPOST_FAULT_SEED  the seed that determines which calls fail
 *   BADGERPOST_WALL_CLOCK  a file that holds the wall clock's offset in milliseconds; read whenever the process reads
 *                          the wall clock
 *   BADGERPOST_REQUEST_LOG a file to which one line is appended for each HTTP request received or sent: "recv" or
 *                          "send", the monotonic times in nanoseconds at which the call began and the request was
 *                          logged, and the request's head
 *
 * Faults are injected into calls on TCP sockets, `socket` calls for IPv4 and IPv6, `bind` calls on Unix sockets and
 * `epoll_wait`; reads and writes of other descriptors, such as those that wake the event loop, never fail.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Kinds of faults that are not errors. */
enum { SHORT = -1, DELAY = -2 };

/* The most bytes that a short read or write transfers. */
#define MAX_SHORT_BYTES 40
#define DELAY_MS 150
#define MAX_FAULTS 32

struct fault {
    char call[16];
    int kind; /* an errno value, SHORT or DELAY */
    unsigned permille;
};

static struct fault faults[MAX_FAULTS];
static int fault_count;
static atomic_ullong draw_count;
static unsigned long long seed;
static const char *wall_clock_file;
static const char *request_log_file;

static const struct {
    const char *name;
    int value;
} kinds[] = {
    {"short", SHORT},
    {"hold", DELAY},
    {"EINTR", EINTR},
    {"ECONNABORTED", ECONNABORTED},
    {"ENFILE", ENFILE},
    {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNRESET", ECONNRESET},
    {"ENOSPC", ENOSPC},
    {"EIO", EIO},
};

static int parse_kind(const char *name, size_t length)
{
    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
        if (strlen(kinds[i].name) == length && !memcmp(kinds[i].name, name, length))
            return kinds[i].value;
    abort(); /* an unknown fault, without which the test must not run */
}

__attribute__((constructor)) static void read_environment(void)
{
    const char *entry = getenv("BADGERPOST_FAULTS");
    const char *seed_text = getenv("BADGERPOST_FAULT_SEED");
    seed = seed_text ? strtoull(seed_text, NULL, 10) : 1;
    wall_clock_file = getenv("BADGERPOST_WALL_CLOCK");
    request_log_file = getenv("BADGERPOST_REQUEST_LOG");
    while (entry && *entry) {
        const char *colon = strchr(entry, ':');
        const char *equals = colon ? strchr(colon, '=') : NULL;
        if (!equals || fault_count == MAX_FAULTS || colon - entry >= (long)sizeof faults[0].call)
            abort();
        struct fault *fault = &faults[fault_count++];
        memcpy(fault->call, entry, colon - entry);
        fault->kind = parse_kind(colon + 1, equals - colon - 1);
        char *end;
        fault->permille = strtoul(equals + 1, &end, 10);
        entry = *end == ',' ? end + 1 : end;
    }
}

/* Draws a number below 1000: SplitMix64 over an atomic counter, which threads may use concurrently. */
static unsigned draw_permille(void)
{
    uint64_t z = seed * 0xd1342543de82ef95ull + atomic_fetch_add(&draw_count, 1) * 0x9e3779b97f4a7c15ull;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return (z ^ (z >> 31)) % 1000;
}

static int is_tcp(int fd)
{
    int domain = 0, type = 0;
    socklen_t length = sizeof domain;
    if (syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, &domain, &length))
        return 0;
    length = sizeof type;
    syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, &type, &length);
    return (domain == AF_INET || domain == AF_INET6) && type == SOCK_STREAM;
}

/* Draws the fault of one call: 0 for none, an errno value or SHORT. A delay has passed when this returns. */
static int draw_fault(const char *call)
{
    int found = 0;
    for (int i = 0; i < fault_count; i++) {
        if (strcmp(faults[i].call, call) || draw_permille() >= faults[i].permille)
            continue;
        if (faults[i].kind == DELAY) {
            struct timespec delay = {0, DELAY_MS * 1000000L};
            syscall(SYS_nanosleep, &delay, NULL);
        } else if (!found) {
            found = faults[i].kind;
        }
    }
    return found;
}

/* Sets errno where the fault is an error. Returns whether it is one. */
static int set_errno(int fault)
{
    if (fault > 0)
        errno = fault;
    return fault > 0;
}

static size_t limit_length(int fault, size_t length)
{
    return fault == SHORT && length > MAX_SHORT_BYTES ? MAX_SHORT_BYTES : length;
}

static long long monotonic_ns(void)
{
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

/* Appends one line to the request log if these bytes start with the head of a GET or POST request. */
static void log_request(const char *call, long long began_at_ns, const char *bytes, size_t length)
{
    if (length < 5 || (memcmp(bytes, "POST ", 5) && memcmp(bytes, "GET ", 4)))
        return;
    char line[1024];
    int count = snprintf(line, sizeof line, "%s %lld %lld ", call, began_at_ns, monotonic_ns());
    for (size_t i = 0; i < length && count < (int)sizeof line - 1; i++)
        line[count++] = bytes[i] == '\r' || bytes[i] == '\n' ? '\t' : bytes[i];
    line[count++] = '\n';
    int fd = syscall(SYS_openat, AT_FDCWD, request_log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0)
        return;
    syscall(SYS_write, fd, line, count);
    syscall(SYS_close, fd);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags)
{
    int fault = is_tcp(fd) ? draw_fault("recv") : 0;
    if (set_errno(fault))
        return -1;
    long long began_at_ns = request_log_file ? monotonic_ns() : 0;
    ssize_t count = syscall(SYS_recvfrom, fd, buffer, limit_length(fault, length), flags, NULL, NULL);
    if (request_log_file && count > 0)
        log_request("recv", began_at_ns, buffer, count);
    return count;
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    long long began_at_ns = request_log_file ? monotonic_ns() : 0;
    int fault = is_tcp(fd) ? draw_fault("send") : 0;
    if (set_errno(fault))
        return -1;
    if (request_log_file)
        log_request("send", began_at_ns, buffer, length);
    return syscall(SYS_sendto, fd, buffer, limit_length(fault, length), flags, NULL, 0);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    long long began_at_ns = request_log_file ? monotonic_ns() : 0;
    int fault = is_tcp(fd) ? draw_fault("send") : 0;
    if (set_errno(fault))
        return -1;
    if (request_log_file && count > 0)
        log_request("send", began_at_ns, parts[0].iov_base, parts[0].iov_len);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, limit_length(fault, parts[0].iov_len)};
        return syscall(SYS_writev, fd, &first, 1);
    }
    return syscall(SYS_writev, fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    if (set_errno(is_tcp(fd) ? draw_fault("accept") : 0))
        return -1;
    return syscall(SYS_accept4, fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    if (set_errno(is_tcp(fd) ? draw_fault("connect") : 0))
        return -1;
    return syscall(SYS_connect, fd, address, length);
}

/* Binding a Unix socket creates a file. */
int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    if (address->sa_family == AF_UNIX && set_errno(draw_fault("bind_unix")))
        return -1;
    return syscall(SYS_bind, fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    if ((domain == AF_INET || domain == AF_INET6) && set_errno(draw_fault("socket")))
        return -1;
    return syscall(SYS_socket, domain, type, protocol);
}

/* SO_ERROR returns the result of a non-blocking connect. */
int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    int result = syscall(SYS_getsockopt, fd, level, name, value, length);
    if (!result && level == SOL_SOCKET && name == SO_ERROR && *(int *)value == 0 && is_tcp(fd)) {
        int fault = draw_fault("so_error");
        if (fault > 0)
            *(int *)value = fault;
    }
    return result;
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout)
{
    if (set_errno(draw_fault("epoll")))
        return -1;
    return syscall(SYS_epoll_pwait, fd, events, count, timeout, NULL, 8);
}

/* 0 where the file cannot be opened. */
static int64_t read_wall_clock_offset_ms(void)
{
    char text[32] = {0};
    int fd = syscall(SYS_openat, AT_FDCWD, wall_clock_file, O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return 0;
    syscall(SYS_read, fd, text, sizeof text - 1);
    syscall(SYS_close, fd);
    return strtoll(text, NULL, 10);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int result = syscall(SYS_clock_gettime, clock, now);
    if (result || clock != CLOCK_REALTIME || !wall_clock_file)
        return result;
    int64_t nanoseconds = now->tv_sec * 1000000000LL + now->tv_nsec + read_wall_clock_offset_ms() * 1000000LL;
    now->tv_sec = nanoseconds / 1000000000LL;
    now->tv_nsec = nanoseconds % 1000000000LL;
    return 0;
}
