package clovermill.prove.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * Fault rules for the library: each errno on each call for which Linux's man pages (section 2) and tcp(7) document it.
 * Excluded: EAGAIN, which is not an error; errors that only an incorrect call can cause (EBADF, EFAULT, EINVAL and the
 * like); and epoll_ctl, whose errors the Java runtime does not report, so a Java program cannot handle them.
 */
final class ErrnoRules {

    private static final String CONNECT_RATE = "@0.3";
    private static final String TRANSFER_RATE = "@0.02";
    private static final String FIRST_CALL = "#1";
    /** Rules for the calls that a director makes to start and to accept clients. */
    private static final List<String> SETUP_RULES = rules(
            "accept", CONNECT_RATE, "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EINTR EPERM EPROTO ENETDOWN ENOPROTOOPT"
                    + " EHOSTDOWN ENONET EHOSTUNREACH EOPNOTSUPP ENETUNREACH ETIMEDOUT",
            "socket", CONNECT_RATE, "EMFILE ENFILE ENOBUFS ENOMEM EACCES",
            "epoll_create", FIRST_CALL, "EMFILE ENFILE ENOMEM",
            "eventfd", FIRST_CALL, "EMFILE ENFILE ENOMEM",
            "bind", FIRST_CALL, "EADDRINUSE",
            "listen", FIRST_CALL, "EADDRINUSE",
            "setsockopt", FIRST_CALL, "ENOMEM|ENOBUFS");
    /** Rules for the calls that exchange data with caches, command channel and clients. */
    private static final List<String> TRAFFIC_RULES = rules(
            "connect", CONNECT_RATE,
            "EADDRNOTAVAIL EAGAIN ECONNREFUSED EINTR ENETUNREACH ETIMEDOUT EHOSTUNREACH ENOBUFS"
                    + " EACCES EPERM EADDRINUSE",
            "read", TRANSFER_RATE, "EINTR SHORT ETIMEDOUT EHOSTUNREACH ECONNRESET ENOMEM",
            "write", TRANSFER_RATE, "EINTR SHORT EPIPE ECONNRESET ETIMEDOUT EHOSTUNREACH ENOBUFS ENOMEM",
            "epoll_wait", TRANSFER_RATE, "EINTR");

    private ErrnoRules() {}

    /** Returns two rules for different calls; the numbers below {@link #pairCount} cover all rules. */
    static String rulePair(int number) {
        return SETUP_RULES.get(number % SETUP_RULES.size()) + "," + TRAFFIC_RULES.get(number % TRAFFIC_RULES.size());
    }

    /** Returns the count of consecutive numbers that covers every rule. */
    static int pairCount() {
        return Math.max(SETUP_RULES.size(), TRAFFIC_RULES.size());
    }

    private static List<String> rules(String... callRateErrors) {
        List<String> rules = new ArrayList<>();
        for (int i = 0; i < callRateErrors.length; i += 3) {
            for (String error : callRateErrors[i + 2].split(" ")) {
                rules.add(callRateErrors[i] + "=" + error + callRateErrors[i + 1]);
            }
        }
        return List.copyOf(rules);
    }
}
