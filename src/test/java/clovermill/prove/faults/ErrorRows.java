package clovermill.prove.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * Each errno on each call for which Linux's man pages (section 2) and tcp(7) document it, as rules for the library.
 * Left out: EAGAIN, which is no error; those that only a wrong call can meet (EBADF, EFAULT, EINVAL and the like); and
 * epoll_ctl, whose errors the Java runtime does not report, so that no program in Java can answer them.
 */
final class ErrorRows {

    private static final String DIALS = "@0.3";
    private static final String TRANSFERS = "@0.02";
    private static final String FIRST = "#1";
    /** Calls by which a director starts and lets clients in. */
    private static final List<String> ENTRY = rows(
            "accept", DIALS, "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EINTR EPERM EPROTO ENETDOWN ENOPROTOOPT"
                    + " EHOSTDOWN ENONET EHOSTUNREACH EOPNOTSUPP ENETUNREACH ETIMEDOUT",
            "socket", DIALS, "EMFILE ENFILE ENOBUFS ENOMEM EACCES",
            "epoll_create", FIRST, "EMFILE ENFILE ENOMEM",
            "eventfd", FIRST, "EMFILE ENFILE ENOMEM",
            "bind", FIRST, "EADDRINUSE",
            "listen", FIRST, "EADDRINUSE",
            "setsockopt", FIRST, "ENOMEM|ENOBUFS");
    /** Calls by which it speaks with caches, channel and clients. */
    private static final List<String> TRAFFIC = rows(
            "connect", DIALS, "EADDRNOTAVAIL EAGAIN ECONNREFUSED EINTR ENETUNREACH ETIMEDOUT EHOSTUNREACH ENOBUFS"
                    + " EACCES EPERM EADDRINUSE",
            "read", TRANSFERS, "EINTR SHORT ETIMEDOUT EHOSTUNREACH ECONNRESET ENOMEM",
            "write", TRANSFERS, "EINTR SHORT EPIPE ECONNRESET ETIMEDOUT EHOSTUNREACH ENOBUFS ENOMEM",
            "epoll_wait", TRANSFERS, "EINTR");

    private ErrorRows() {}

    /** Two rules of unlike calls; so many numbers in turn play all rows. */
    static String pair(int number) {
        return ENTRY.get(number % ENTRY.size()) + "," + TRAFFIC.get(number % TRAFFIC.size());
    }

    /** How many numbers in turn it takes to play every row. */
    static int pairs() {
        return Math.max(ENTRY.size(), TRAFFIC.size());
    }

    private static List<String> rows(String... callAmountErrors) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < callAmountErrors.length; i += 3) {
            for (String error : callAmountErrors[i + 2].split(" ")) {
                all.add(callAmountErrors[i] + "=" + error + callAmountErrors[i + 1]);
            }
        }
        return List.copyOf(all);
    }
}
