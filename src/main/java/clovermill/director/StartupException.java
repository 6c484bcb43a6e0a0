package clovermill.director;

/** Thrown if a director cannot be started; the message is one line that names the file or variable and the reason. */
public final class StartupException extends Exception {

    private static final long serialVersionUID = 1L;

    StartupException(String message) {
        super(message, null, false, false);
    }
}
