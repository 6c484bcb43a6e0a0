package clovermill.config.settings;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.FileAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Routes the messages of System.Logger to Logback, which writes text or JSON lines to standard error or to a file. The
 * bridge is installed behind java.util.logging instead of as the system's logger finder, because a logger finder is
 * selected for the whole JVM by the class path and would slow down a start without structured logging too.
 */
public final class StructuredLog {

    private static final String TEXT = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %level %logger{0} %msg%n";

    private StructuredLog() {}

    /** Replaces the log handlers of the JVM. */
    public static void start(LogSettings settings) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        OutputStreamAppender<ILoggingEvent> appender = appender(settings);
        appender.setContext(context);
        appender.setEncoder(encoder(settings, context));
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(settings.level()));
        root.addAppender(appender);
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        java.util.logging.Logger.getLogger("").setLevel(root.getLevel().isGreaterOrEqual(Level.INFO)
                ? java.util.logging.Level.INFO : java.util.logging.Level.ALL);
    }

    private static OutputStreamAppender<ILoggingEvent> appender(LogSettings settings) {
        if (settings.file() != null) {
            FileAppender<ILoggingEvent> file = new FileAppender<>();
            file.setFile(settings.file());
            return file;
        }
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setTarget("System.err");
        return console;
    }

    private static Encoder<ILoggingEvent> encoder(LogSettings settings, LoggerContext context) {
        if (settings.format().equals("json")) {
            JsonEncoder json = new JsonEncoder();
            json.setContext(context);
            json.setWithContext(false);
            json.setWithMDC(false);
            json.setWithSequenceNumber(false);
            json.setWithNanoseconds(false);
            json.setWithThrowable(true);
            json.setWithFormattedMessage(true);
            json.setWithMessage(false);
            json.setWithArguments(false);
            json.start();
            return json;
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern(TEXT);
        text.start();
        return text;
    }
}
