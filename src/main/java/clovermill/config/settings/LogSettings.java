package clovermill.config.settings;

/**
 * The settings under {@code /log}.
 *
 * @param format text or json
 * @param level the lowest level that is written
 * @param file the log file; null for standard error
 */
public record LogSettings(String format, String level, String file) {

    /** Replaces missing values by their defaults. */
    public LogSettings {
        format = format == null ? "text" : format;
        level = level == null ? "info" : level;
    }
}
