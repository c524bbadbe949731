/*
 * Faults of system calls and a wall clock that steps, for a process under test. Preloaded by the dynamic linker
 * (LD_PRELOAD); `src/system_faults.rs` sets the environment that is read here.
 *
 *   BADGERPOST_FAULTS      "recv:short=50,send:EINTR=20": in so many of a thousand calls
 *   BADGERPOST_FAULT_SEED  drives the draws
 *   BADGERPOST_WALL_CLOCK  a file with the milliseconds by which the wall clock is ahead; read at each reading of it
 *   BADGERPOST_REQUEST_LOG a file to which each HTTP request is appended that passes a socket: "recv" or "send", the
 *                          nanoseconds of the monotonic clock as the call began and as the bytes passed, and its head
 *
 * Only TCP sockets over IP fail, and the naming of Unix sockets: the event loop's own are none of a peer's business.
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

enum { SHORT = -1, HOLD = -2 };

/* A short read or write moves this many bytes at most. */
#define SHORT_BYTES 40
/* A node may be held up for this long between reading its clock and writing. */
#define HOLD_MS 150
#define MOST_FAULTS 32

struct fault {
    char call[16];
    int kind; /* an errno, or one of the above */
    unsigned permille;
};

static struct fault faults[MOST_FAULTS];
static int fault_count;
static atomic_ullong draws;
static unsigned long long seed;
static const char *wall_clock_file;
static const char *request_log_file;

static const struct {
    const char *name;
    int value;
} kinds[] = {
    {"short", SHORT},
    {"hold", HOLD},
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

static int kind_of(const char *name, size_t length)
{
    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
        if (strlen(kinds[i].name) == length && !memcmp(kinds[i].name, name, length))
            return kinds[i].value;
    abort(); /* a test that asks for a fault that is not there tests nothing */
}

__attribute__((constructor)) static void read_environment(void)
{
    const char *text = getenv("BADGERPOST_FAULTS");
    const char *number = getenv("BADGERPOST_FAULT_SEED");
    seed = number ? strtoull(number, NULL, 10) : 1;
    wall_clock_file = getenv("BADGERPOST_WALL_CLOCK");
    request_log_file = getenv("BADGERPOST_REQUEST_LOG");
    while (text && *text) {
        const char *colon = strchr(text, ':');
        const char *equals = colon ? strchr(colon, '=') : NULL;
        if (!equals || fault_count == MOST_FAULTS || colon - text >= (long)sizeof faults[0].call)
            abort();
        struct fault *fault = &faults[fault_count++];
        memcpy(fault->call, text, colon - text);
        fault->kind = kind_of(colon + 1, equals - colon - 1);
        char *end;
        fault->permille = strtoul(equals + 1, &end, 10);
        text = *end == ',' ? end + 1 : end;
    }
}

/* A number below 1000. SplitMix64 over a counter, so that threads may draw beside each other. */
static unsigned draw(void)
{
    uint64_t z = seed * 0xd1342543de82ef95ull + atomic_fetch_add(&draws, 1) * 0x9e3779b97f4a7c15ull;
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

/* What this call meets: 0, an errno or SHORT. A hold is over when this returns. */
static int fault_of(const char *call)
{
    int found = 0;
    for (int i = 0; i < fault_count; i++) {
        if (strcmp(faults[i].call, call) || draw() >= faults[i].permille)
            continue;
        if (faults[i].kind == HOLD) {
            struct timespec span = {0, HOLD_MS * 1000000L};
            syscall(SYS_nanosleep, &span, NULL);
        } else if (!found) {
            found = faults[i].kind;
        }
    }
    return found;
}

static int fails(int fault)
{
    if (fault > 0)
        errno = fault;
    return fault > 0;
}

static size_t shortened(int fault, size_t length)
{
    return fault == SHORT && length > SHORT_BYTES ? SHORT_BYTES : length;
}

static long long monotonic_nanoseconds(void)
{
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

/* Appends a request's head on one line, if these bytes begin with one. */
static void log_request(const char *call, long long began_at, const char *bytes, size_t length)
{
    if (length < 5 || (memcmp(bytes, "POST ", 5) && memcmp(bytes, "GET ", 4)))
        return;
    char line[1024];
    int count = snprintf(line, sizeof line, "%s %lld %lld ", call, began_at, monotonic_nanoseconds());
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
    int fault = is_tcp(fd) ? fault_of("recv") : 0;
    if (fails(fault))
        return -1;
    long long began_at = request_log_file ? monotonic_nanoseconds() : 0;
    ssize_t count = syscall(SYS_recvfrom, fd, buffer, shortened(fault, length), flags, NULL, NULL);
    if (request_log_file && count > 0)
        log_request("recv", began_at, buffer, count);
    return count;
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    long long began_at = request_log_file ? monotonic_nanoseconds() : 0;
    int fault = is_tcp(fd) ? fault_of("send") : 0;
    if (fails(fault))
        return -1;
    if (request_log_file)
        log_request("send", began_at, buffer, length);
    return syscall(SYS_sendto, fd, buffer, shortened(fault, length), flags, NULL, 0);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    long long began_at = request_log_file ? monotonic_nanoseconds() : 0;
    int fault = is_tcp(fd) ? fault_of("send") : 0;
    if (fails(fault))
        return -1;
    if (request_log_file && count > 0)
        log_request("send", began_at, parts[0].iov_base, parts[0].iov_len);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, shortened(fault, parts[0].iov_len)};
        return syscall(SYS_writev, fd, &first, 1);
    }
    return syscall(SYS_writev, fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    if (fails(is_tcp(fd) ? fault_of("accept") : 0))
        return -1;
    return syscall(SYS_accept4, fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    if (fails(is_tcp(fd) ? fault_of("connect") : 0))
        return -1;
    return syscall(SYS_connect, fd, address, length);
}

/* A Unix socket gets its name: a file in a folder. */
int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    if (address->sa_family == AF_UNIX && fails(fault_of("bind_unix")))
        return -1;
    return syscall(SYS_bind, fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    if ((domain == AF_INET || domain == AF_INET6) && fails(fault_of("socket")))
        return -1;
    return syscall(SYS_socket, domain, type, protocol);
}

/* What became of a connect that went on by itself is told here. */
int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    int result = syscall(SYS_getsockopt, fd, level, name, value, length);
    if (!result && level == SOL_SOCKET && name == SO_ERROR && *(int *)value == 0 && is_tcp(fd)) {
        int fault = fault_of("so_error");
        if (fault > 0)
            *(int *)value = fault;
    }
    return result;
}

int epoll_wait(int fd, struct epoll_event *events, int count, int wait)
{
    if (fails(fault_of("epoll")))
        return -1;
    return syscall(SYS_epoll_pwait, fd, events, count, wait, NULL, 8);
}

static int64_t milliseconds_ahead(void)
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
    int64_t nanoseconds = now->tv_sec * 1000000000LL + now->tv_nsec + milliseconds_ahead() * 1000000LL;
    now->tv_sec = nanoseconds / 1000000000LL;
    now->tv_nsec = nanoseconds % 1000000000LL;
    return 0;
}
